import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EarlierLeaders } from '../../src/controller/leadership/earlier-leaders.ts'
import { LEASE_GRACE_MS } from '../../src/controller/leadership/leadership.ts'
import type { StandDown } from '../../src/controller/leadership/leadership.ts'
import type { Peer } from '../../src/controller/member-call.ts'
import type { CommitRecord, UnsettledTerm } from '../../src/controller/records/store-keys.ts'
import { listUnsettledTerms } from '../../src/controller/leadership/unsettled-terms.ts'
import { Random } from '../../src/util/random.ts'

const MEMBERS = 4
const STEPS = 300
const LEASE_MS = 3_500
/** Seeds of one run. */
const SEEDS = 600
const NO_REPORTER = { log: () => {}, count: () => {}, observe: () => {} }

/** What a new leader takes over of the record before: all unsettled terms, or only the last one as a variant that is wrong. */
type Inheritance = (record: CommitRecord) => readonly UnsettledTerm[]

/** What a commit says of the earlier terms: what the leader knows, or something else as a variant that is wrong. */
type HandingOn = (unsettled: readonly UnsettledTerm[]) => readonly UnsettledTerm[]

type SimulatedMember = {
  readonly peer: Peer
  startedAt: number
  lastLedAt: number | undefined
  /** Whether others reach it; a leader that they cannot reach goes on for the grace of its lease. */
  reachable: boolean
  /** Whether its process has ended, and the next one has not started. */
  dead: boolean
  leading: { readonly term: number, readonly earlier: EarlierLeaders | undefined, settled: boolean, commandsUntil: number } | undefined
}

/** Members that claim terms, lead them or not, are killed or cut off, and the commands that they send. */
class TermChain {
  private now = 0
  private record: CommitRecord | undefined
  /** Commits under way, with the record that each of them replaces. */
  private readonly pendingCommits: Array<{ readonly replaces: CommitRecord, readonly record: CommitRecord }> = []
  /** Time of the last command, by term. */
  private readonly lastCommandAt = new Map<number, number>()
  private readonly members: readonly SimulatedMember[] = Array.from({ length: MEMBERS }, (_, index) => ({ peer: { member: `m${index}`, address: `m${index}:1` }, startedAt: 0, lastLedAt: undefined, reachable: true, dead: false, leading: undefined }))

  private constructor (private readonly random: Random, private readonly lists: boolean, private readonly inherit: Inheritance, private readonly handOn: HandingOn) {}

  /** In every second chain the targets cannot all be listed, so that terms are settled by time alone. */
  static create (seed: number, inherit: Inheritance, handOn: HandingOn): TermChain {
    return new TermChain(Random.create(seed), seed % 2 === 0, inherit, handOn)
  }

  /** Plays random steps. Returns what was taken for lapsed too early; undefined if nothing was. */
  async play (): Promise<string | undefined> {
    for (let step = 0; step < STEPS; step += 1) {
      this.now += this.random.nextInt(900)
      const member = this.members[this.random.nextInt(MEMBERS)]!
      switch (this.random.nextInt(11)) {
        case 0: await this.claim(member, false); break
        case 1:
        case 2: await this.claim(member, true); break
        case 3: this.restart(member); break
        case 4: member.reachable = !member.reachable; break
        case 5: if (this.lists) this.settleByListing(); break
        case 6: this.commit(); break
        case 7: this.sendCommit(); break
        case 8: this.applyCommit(); break
        case 9: this.kill(member); break
        default:
      }
      this.command()
      const breach = this.settleByTime()
      if (breach !== undefined) return breach
      await this.askEarlierLeaders()
    }
    return undefined
  }

  /** A claim is recorded. `led`: its member learns of it. The leader before has lost its lease by then. */
  private async claim (member: SimulatedMember, led: boolean): Promise<void> {
    if (member.leading !== undefined || member.dead) return
    for (const { leading } of this.members) {
      if (leading !== undefined) leading.commandsUntil = Math.min(leading.commandsUntil, this.now + LEASE_GRACE_MS)
    }
    const unsettled = this.record === undefined ? [] : this.inherit(this.record)
    const term = (this.record?.term ?? 0) + 1
    this.record = { term, nonce: String(term), leader: member.peer, unsettled }
    if (!led) return
    const earlier = EarlierLeaders.create({
      term: { term, commitVersion: term, unsettled },
      self: member.peer,
      reporter: NO_REPORTER,
      requestStandDown: async (peer) => this.standDown(this.members.find(({ peer: { address } }) => address === peer.address)!, term, false),
      checkProcess: async (peer) => this.members.some(({ peer: { address }, dead, reachable }) => address === peer.address && dead && reachable) ? 'ended' : 'unknown',
      standDown: () => this.standDown(member, term, true)!,
      isStopped: () => true,
      now: () => this.now
    })
    member.leading = { term, earlier, settled: unsettled.length === 0, commandsUntil: Infinity }
  }

  /** Lets each leader that has not settled the earlier terms ask their leaders once. */
  private async askEarlierLeaders (): Promise<void> {
    for (const { leading } of this.members) {
      if (leading !== undefined && !leading.settled) await leading.earlier?.askOnce()
    }
  }

  private standDown (member: SimulatedMember, term: number, isSelf: boolean): StandDown | undefined {
    if (member.dead || (!member.reachable && !isSelf)) return undefined
    if (member.leading !== undefined && member.leading.term < term) this.endTerm(member)
    if (member.lastLedAt === undefined) return { type: 'never-led', quietForMs: this.now - member.startedAt }
    return { type: 'stopped', quietForMs: this.now - member.lastLedAt }
  }

  private endTerm (member: SimulatedMember): void {
    member.leading = undefined
    member.lastLedAt = this.now
  }

  /** Ends a process; the next one starts later. */
  private kill (member: SimulatedMember): void {
    member.leading = undefined
    member.dead = true
  }

  private restart (member: SimulatedMember): void {
    member.leading = undefined
    member.dead = false
    member.lastLedAt = undefined
    member.startedAt = this.now
  }

  /** Each leader commands, whether it still has its lease or not, until its grace ends. */
  private command (): void {
    for (const member of this.members) {
      const { leading } = member
      if (leading === undefined) continue
      if (this.now > leading.commandsUntil) this.endTerm(member)
      else this.lastCommandAt.set(leading.term, this.now)
    }
  }

  /** The leader on record lists all targets: it knows all runs, and the targets refuse earlier leaders. */
  private settleByListing (): void {
    const member = this.members.find(({ leading }) => leading?.term === this.record?.term)
    if (member?.leading === undefined || member.leading.settled) return
    for (const other of this.members) {
      if (other !== member && other.leading !== undefined) this.endTerm(other)
    }
    for (const term of this.lastCommandAt.keys()) {
      if (term < member.leading.term) this.lastCommandAt.delete(term)
    }
    this.settle(member)
  }

  /** The leader on record stores what it knows of the earlier leaders. */
  private commit (): void {
    this.record = this.createCommit() ?? this.record
  }

  /** The same, but the store carries it out late, or never. */
  private sendCommit (): void {
    const record = this.createCommit()
    if (record !== undefined) this.pendingCommits.push({ replaces: this.record!, record })
  }

  /** The store carries out the oldest commit that is under way, if nothing else was stored meanwhile. */
  private applyCommit (): void {
    const commit = this.pendingCommits.shift()
    if (commit !== undefined && commit.replaces === this.record) this.record = commit.record
  }

  private createCommit (): CommitRecord | undefined {
    const leading = this.members.find(({ leading }) => leading?.term === this.record?.term)?.leading
    if (leading?.earlier === undefined || leading.settled) return undefined
    return { ...this.record!, unsettled: this.handOn(leading.earlier.unsettled) }
  }

  /** Settles the earlier terms where their leases count as ended; reports if a run of them may still be there. */
  private settleByTime (): string | undefined {
    for (const member of this.members) {
      const { leading } = member
      if (leading === undefined || leading.settled || leading.earlier?.haveRunsLapsedBy(this.now, LEASE_MS) !== true) continue
      for (const [term, at] of this.lastCommandAt) {
        if (term < leading.term && this.now <= at + LEASE_MS) return `term ${leading.term} took term ${term} for lapsed ${this.now - at} ms after its last command`
      }
      this.settle(member)
    }
    return undefined
  }

  private settle (member: SimulatedMember): void {
    member.leading!.settled = true
    // Only the leader on record can commit.
    if (this.record?.term === member.leading!.term) this.record = { ...this.record, unsettled: [] }
  }
}

async function findBreach (inherit: Inheritance, handOn: HandingOn = (unsettled) => unsettled): Promise<string | undefined> {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const breach = await TermChain.create(seed, inherit, handOn).play()
    if (breach !== undefined) return `seed ${seed}: ${breach}`
  }
  return undefined
}

// Claims that nobody leads, leaders that end before they have settled, and ones that are cut off and go on.
test('term chains: guards against the failure that a new leader takes the runs of any earlier term for lapsed while they may go on', async () => {
  assert.equal(await findBreach(listUnsettledTerms), undefined)
})

test('term chains: the simulation finds a leader that asks only the last one on record', async () => {
  assert.match(await findBreach((record) => listUnsettledTerms(record).slice(-1)) ?? '', /took term \d+ for lapsed/)
})

test('term chains: the simulation finds a leader that takes every earlier leader for one that sends no more commands', async () => {
  const endAll: Inheritance = (record) => listUnsettledTerms(record).map((earlier) => ({ ...earlier, commandsEnded: true }))
  assert.match(await findBreach(endAll) ?? '', /took term \d+ for lapsed/)
})

test('term chains: the simulation finds a leader that hands on a wait that is too short', async () => {
  const shorten: HandingOn = (unsettled) => unsettled.map((earlier) => ({ ...earlier, commandsEndInMs: (earlier.commandsEndInMs ?? LEASE_GRACE_MS) - 1_500 }))
  assert.match(await findBreach(listUnsettledTerms, shorten) ?? '', /took term \d+ for lapsed/)
})

const LEADER_1 = { term: 1, leader: { member: 'm1', address: 'm1:1' } }
const LEADER_2 = { member: 'm2', address: 'm2:1' }

type Chain = { readonly guards: string, readonly secondTermMs: number, readonly reachable: boolean, readonly asked: readonly string[], readonly lapsedAfterMs: number }

/** Leader 1 is silent or stopped, leader 2 ends after `secondTermMs`, and the leader of term 3 begins. */
const chains: readonly Chain[] = [
  { guards: 'a silent leader is waited for until its grace ends', secondTermMs: 1_000, reachable: false, asked: ['m1'], lapsedAfterMs: LEASE_GRACE_MS - 1_000 + LEASE_MS },
  // All members were killed 9.4 s after the first leader had fallen silent: the grace was waited for again, 8 s without starts.
  { guards: 'the grace of a silent leader is waited for by one leader, not by each that follows', secondTermMs: LEASE_GRACE_MS + 100, reachable: false, asked: [], lapsedAfterMs: LEASE_MS },
  { guards: 'a leader that has answered is not waited for again if it falls silent then', secondTermMs: 100, reachable: true, asked: [], lapsedAfterMs: LEASE_MS }
]

for (const { guards, secondTermMs, reachable, asked, lapsedAfterMs } of chains) {
  test(`term chains: ${guards}`, async () => {
    let now = 0
    const requested: string[] = []
    const create = (term: number, unsettled: readonly UnsettledTerm[], answer: StandDown | undefined): EarlierLeaders => EarlierLeaders.create({
      term: { term, commitVersion: term, unsettled },
      self: { member: 'self', address: 'self:1' },
      reporter: NO_REPORTER,
      requestStandDown: async ({ member }) => {
        requested.push(member)
        return member === LEADER_1.leader.member ? answer : { type: 'stopped', quietForMs: 0 }
      },
      standDown: () => ({ type: 'never-led', quietForMs: 0 }),
      isStopped: () => true,
      now: () => now
    })
    const second = create(2, [LEADER_1], reachable ? { type: 'stopped', quietForMs: 0 } : undefined)
    await second.askOnce()
    now += secondTermMs
    const third = create(3, listUnsettledTerms({ term: 2, nonce: 'n', leader: LEADER_2, unsettled: second.unsettled }), undefined)
    requested.length = 0
    await third.askOnce()
    assert.deepEqual(requested.filter((member) => member !== LEADER_2.member), asked)
    now += lapsedAfterMs
    assert.equal(third.haveRunsLapsedBy(now, LEASE_MS), false)
    now += 0.04 * LEASE_MS
    assert.equal(third.haveRunsLapsedBy(now, LEASE_MS), true)
  })
}
