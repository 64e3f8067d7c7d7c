import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberCall, MemberCallFailure, MemberResponse } from '../../../src/controller/member-call.ts'
import { StoreDetour } from '../../../src/controller/store-detour/store-detour.ts'
import { MAX_PROXIED_CALLS, StoreProxy } from '../../../src/controller/store-detour/store-proxy.ts'
import type { ObservedStore, StoreCall, StoreCallLimits, StoreFailure, StoreResponse } from '../../../src/ports/store.ts'
import { InMemoryStore } from '../../../src/standins/store.ts'
import { VirtualTime } from '../virtual-time.ts'

const CALL_TIMEOUT_MS = 1_000
const WRITE: StoreCall = { type: 'transact', compares: [{ type: 'absent', key: 'a' }], puts: [{ key: 'a', value: '1' }], deletes: [] }
const READ: StoreCall = { type: 'read', prefix: 'a' }
const WATCH: StoreCall = { type: 'watch', prefixes: ['a'], afterVersion: 0, waitMs: 1_500 }
const reporter = { log: () => {}, count: () => {}, observe: () => {} }

type StoreResult = Result<StoreResponse, StoreFailure>
/** `mute`: calls are carried out and get no response. */
type Service = 'serves' | 'refuses' | 'silent' | 'mute'

function wait (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** One member's own way to the store. */
class FakeWay implements ObservedStore {
  calls = 0
  isResponsive = true
  delayMs = 0

  constructor (private readonly inner: InMemoryStore, public service: Service) {}

  async call (call: StoreCall, limits?: StoreCallLimits): Promise<StoreResult> {
    this.calls += 1
    if (this.delayMs > 0) await wait(this.delayMs)
    if (this.service === 'refuses') return this.fail('unavailable', 'not-applied')
    const answer = this.service === 'silent' ? 'waiting' : this.inner.call(0, call)
    this.isResponsive = answer !== 'waiting' && this.service === 'serves'
    if (this.isResponsive) return ok(answer as StoreResponse)
    await wait(Math.min(limits?.timeoutMs ?? Infinity, CALL_TIMEOUT_MS))
    return this.fail('timeout', 'may-have-applied')
  }

  private fail (reason: StoreFailure['reason'], verdict: StoreFailure['verdict']): StoreResult {
    this.isResponsive = false
    return err({ reason, verdict })
  }
}

/** How a proxy behaves: its way to the store, or what it does with writes while it serves reads. */
type Behaviour = Service | 'dies-with-writes' | 'late-with-writes' | 'busy-with-writes' | 'earlier-release'

function toService (behaviour: Behaviour): Service {
  return behaviour === 'refuses' || behaviour === 'silent' || behaviour === 'mute' ? behaviour : 'serves'
}

/** A member that calls one store, and the others, which are its proxies. */
class Members {
  readonly inner = InMemoryStore.create()
  readonly own: FakeWay
  readonly store: StoreDetour
  readonly ways: Readonly<Record<string, FakeWay>>
  /** The proxies that were asked, and with what. */
  readonly asked: string[] = []
  private readonly proxies: ReadonlyMap<string, StoreProxy>

  constructor (service: Service, private readonly behaviours: Readonly<Record<string, Behaviour>>) {
    this.own = new FakeWay(this.inner, service)
    this.store = this.connect(this.own)
    this.ways = Object.fromEntries(Object.entries(behaviours).map(([member, behaviour]) => [member, new FakeWay(this.inner, toService(behaviour))]))
    this.proxies = new Map(Object.entries(this.ways).map(([member, direct]) => [member, StoreProxy.create({ direct, reporter })]))
  }

  connect (direct: FakeWay): StoreDetour {
    const peers = Object.keys(this.behaviours).map((member) => ({ member, address: member }))
    return StoreDetour.create({ direct, self: { member: 'm1', address: 'm1' }, reporter, getPeers: () => peers, getLeaderAddress: () => undefined, callMember: (address, call, timeoutMs) => this.handle(address, call, timeoutMs) })
  }

  get isStored (): boolean {
    const answer = this.inner.call(0, READ)
    return answer !== 'waiting' && answer.type === 'read' && answer.entries.length > 0
  }

  private async handle (address: string, call: MemberCall, timeoutMs: number): Promise<Result<MemberResponse, MemberCallFailure>> {
    if (call.type !== 'store-call') return assert.fail(call.type)
    this.asked.push(`${address} ${call.call.type}`)
    const behaviour = this.behaviours[address]
    const isWrite = call.call.type === 'transact'
    if (behaviour === 'earlier-release') return err({ reason: 'rejected' })
    if (isWrite && behaviour === 'busy-with-writes') return ok({ type: 'store-call-refused', reason: 'busy' })
    const response = await this.proxies.get(address)!.serve(call.call, call.timeoutMs, () => true)
    if (isWrite && behaviour === 'dies-with-writes') return err({ reason: 'unavailable' })
    if (!isWrite || behaviour !== 'late-with-writes') return ok(response)
    await wait(timeoutMs)
    return err({ reason: 'timeout' })
  }
}

/** Runs in virtual time; `run` may wait for what takes up to a minute. */
async function runVirtually (run: (time: VirtualTime) => Promise<void>): Promise<void> {
  const time = VirtualTime.install()
  try {
    const outcomes: unknown[] = []
    time.schedule(0, () => { run(time).then(() => outcomes.push('ended'), (error: unknown) => outcomes.push(error)) })
    await time.advance(60_000)
    if (outcomes[0] !== 'ended') throw outcomes[0] ?? new Error('not ended in time')
  } finally {
    time.uninstall()
  }
}

function describe (result: StoreResult): string {
  if (result.isErr()) return result.error.verdict
  return result.value.type === 'transact' ? `committed ${result.value.committed}` : result.value.type
}

const COMMITTED = 'committed true'
const UNKNOWN = 'may-have-applied'

const faults: ReadonlyArray<{ readonly guards: string, readonly own: Service, readonly proxies: Readonly<Record<string, Behaviour>>, readonly results: readonly string[], readonly withinMs: number, readonly stored: boolean }> = [
  { guards: 'a member that the store refuses alone can\'t write', own: 'refuses', proxies: { m2: 'serves' }, results: [COMMITTED], withinMs: 20, stored: true },
  { guards: 'a member that the store leaves without responses can\'t write', own: 'silent', proxies: { m2: 'serves' }, results: [UNKNOWN, COMMITTED], withinMs: 400, stored: true },
  { guards: 'a write that was applied without a response is reported as a conflict', own: 'mute', proxies: { m2: 'serves' }, results: [UNKNOWN, 'committed false'], withinMs: 400, stored: true },
  { guards: 'a write is made again after its proxy has died', own: 'refuses', proxies: { m2: 'dies-with-writes', m3: 'serves' }, results: [UNKNOWN, 'committed false'], withinMs: 40, stored: true },
  { guards: 'a write counts as not applied while its proxy is late', own: 'refuses', proxies: { m2: 'late-with-writes', m3: 'serves' }, results: [UNKNOWN, 'committed false'], withinMs: 550, stored: true },
  { guards: 'a write is refused because one proxy is busy', own: 'refuses', proxies: { m2: 'busy-with-writes', m3: 'serves' }, results: [COMMITTED], withinMs: 40, stored: true },
  { guards: 'a member of an earlier release is used as a proxy', own: 'refuses', proxies: { m2: 'earlier-release', m3: 'serves' }, results: [COMMITTED], withinMs: 20, stored: true },
  { guards: 'a member that has lost the store too is used as a proxy', own: 'refuses', proxies: { m2: 'refuses', m3: 'serves' }, results: [COMMITTED], withinMs: 20, stored: true },
  { guards: 'a member waits for proxies that have no response either', own: 'refuses', proxies: { m2: 'silent', m3: 'mute' }, results: ['not-applied', 'not-applied'], withinMs: 320, stored: false },
  { guards: 'an outage is answered otherwise than without the detour', own: 'silent', proxies: { m2: 'silent', m3: 'silent' }, results: [UNKNOWN, UNKNOWN], withinMs: 2_010, stored: false },
  { guards: 'a member without others is answered otherwise than without the detour', own: 'refuses', proxies: {}, results: ['not-applied', 'not-applied'], withinMs: 20, stored: false }
]

for (const { guards, own, proxies, results, withinMs, stored } of faults) {
  test(`store detour: guards against the failure that ${guards}`, () => runVirtually(async (time) => {
    const members = new Members(own, proxies)
    const startedAt = time.nowMs
    for (const expected of results) assert.equal(describe(await members.store.call(WRITE)), expected)
    assert.ok(time.nowMs - startedAt <= withinMs, `${time.nowMs - startedAt} ms`)
    assert.equal(members.isStored, stored)
  }))
}

test('store detour: guards against the failure that calls wait for a search that nobody makes after two proxies have failed', () => runVirtually(async () => {
  const members = new Members('refuses', { m2: 'busy-with-writes', m3: 'busy-with-writes' })
  assert.equal(describe(await members.store.call(WRITE)), 'not-applied')
  assert.equal(describe(await members.store.call(READ)), 'read')
}))

const outages = [
  { service: 'silent', ownCalls: 130, memberCalls: 36, sentByOthers: 6 },
  { service: 'refuses', ownCalls: 525, memberCalls: 36, sentByOthers: 4 }
] as const

for (const { service, ownCalls, memberCalls, sentByOthers } of outages) {
  test(`store detour: guards against the failure that an outage of the store multiplies calls or keeps them waiting: it ${service}`, () => runVirtually(async (time) => {
    const members = new Members(service, { m2: service, m3: service, m4: service, m5: service })
    const startedAt = time.nowMs
    const loops = Array.from({ length: 10 }, async () => {
      while (time.nowMs - startedAt < 10_000) {
        await members.store.call(READ)
        if (service === 'refuses') await wait(200)
      }
    })
    await wait(305)
    const late = describe(await members.store.call(WRITE))
    assert.deepEqual([late, members.isStored], ['not-applied', false])
    assert.ok(time.nowMs - startedAt < 720, 'a call that was not sent waits for the search only')
    await Promise.all(loops)
    const sent = Object.values(members.ways).reduce((sum, { calls }) => sum + calls, 0)
    assert.ok(members.own.calls <= ownCalls, `${members.own.calls} own calls; without the detour ${service === 'silent' ? 100 : 500}`)
    assert.ok(members.asked.length <= memberCalls && sent <= sentByOthers, `${members.asked.length} calls of members, ${sent} of them sent`)
  }))
}

test('store detour: guards against the failure that calls in progress fail when the own way works again, or that the detour goes on then', () => runVirtually(async () => {
  const members = new Members('refuses', { m2: 'serves' })
  const watch = members.store.call(WATCH)
  assert.equal(describe(await members.store.call(READ)), 'read')
  members.own.service = 'serves'
  assert.equal(describe(await watch), 'watch')
  await wait(1_000)
  assert.equal(describe(await members.store.call(READ)), 'read')
  await wait(10)
  assert.equal(members.store.isDetouring, false)
  const { length } = members.asked
  assert.equal(describe(await members.store.call(READ)), 'read')
  assert.equal(members.asked.length, length)
}))

test('store detour: guards against the failure that one slow call begins a detour', () => runVirtually(async () => {
  const members = new Members('silent', { m2: 'serves' })
  const slow = members.store.call(READ)
  await wait(200)
  members.own.service = 'serves'
  members.own.delayMs = 30
  await slow
  assert.equal(members.store.isDetouring, false)
}))

test('store detour: guards against the failure that two members pass calls to each other', () => runVirtually(async () => {
  const members = new Members('refuses', { m1: 'refuses', m2: 'refuses' })
  const results = await Promise.all([members.store, members.connect(members.ways.m2!)].map((store) => store.call(READ)))
  assert.deepEqual(results.map(describe), ['not-applied', 'not-applied'])
  assert.equal(members.asked.length, 4)
}))

test('store detour: guards against the failure that a watch without responses holds up changes, or is repeated without a pause', () => runVirtually(async (time) => {
  const members = new Members('silent', { m2: 'serves' })
  const startedAt = time.nowMs
  const watch = members.store.call(WATCH)
  assert.equal(describe(await members.store.call(READ)), 'read')
  assert.equal(describe(await watch), 'watch')
  assert.ok(time.nowMs - startedAt >= 700 && time.nowMs - startedAt <= 800, `${time.nowMs - startedAt} ms`)
  assert.equal(describe(await members.store.call(WRITE)), COMMITTED)
  const writtenAt = time.nowMs
  assert.equal(describe(await members.store.call(WATCH)), 'watch')
  assert.ok(time.nowMs - writtenAt < 10)
}))

const drops = [
  { guards: 'nobody waits for', timeoutMs: 400, isAwaited: false, expected: 'late' },
  { guards: 'has come too late', timeoutMs: 0, isAwaited: true, expected: 'late' },
  { guards: 'has no time limit', timeoutMs: Number.NaN, isAwaited: true, expected: 'late' }
]

for (const { guards, timeoutMs, isAwaited, expected } of drops) {
  test(`store proxy: guards against the failure that a call is made that ${guards}`, () => runVirtually(async () => {
    const direct = new FakeWay(InMemoryStore.create(), 'serves')
    assert.deepEqual(await StoreProxy.create({ direct, reporter }).serve(WRITE, timeoutMs, () => isAwaited), { type: 'store-call-refused', reason: expected })
    assert.equal(direct.calls, 0)
  }))
}

test('store proxy: guards against the failure that the calls of others take all connections', () => runVirtually(async () => {
  const proxy = StoreProxy.create({ direct: new FakeWay(InMemoryStore.create(), 'mute'), reporter })
  const calls = Array.from({ length: MAX_PROXIED_CALLS + 1 }, () => proxy.serve(READ, 400, () => true))
  assert.deepEqual((await Promise.all(calls)).map(({ type }) => type), [...Array.from({ length: MAX_PROXIED_CALLS }, () => 'store-failure'), 'store-call-refused'])
}))
