import assert from 'node:assert/strict'
import { test } from 'node:test'
import { bootstrap } from './operator.ts'
import { Simulation } from './simulation.ts'
import type { Member } from './simulation.ts'

const GROUPS = 8
/** One store transaction and one watch, of at most 8 ms each in the simulation, and the 5 ms between two checks. */
const MAX_HANDOVER_MS = 25

/** Starts to watch the owners; the returned function returns the longest time that any group had no owner that may act. */
function watchOwnershipGaps (simulation: Simulation): () => number {
  const lastOwnedAt = new Map<number, number>()
  let longestGapMs = 0
  simulation.repeat(1, () => {
    for (let group = 0; group < GROUPS; group += 1) {
      const actingMembers = simulation.getActingMembers(group)
      if (actingMembers.length === 1) lastOwnedAt.set(group, simulation.now)
      assert.ok(actingMembers.length <= 1)
      longestGapMs = Math.max(longestGapMs, simulation.now - (lastOwnedAt.get(group) ?? simulation.now))
    }
  })
  return () => longestGapMs
}

function hasLeft (member: Member): boolean {
  return member.effects.some(({ effect }) => effect.type === 'left')
}

test('rolling replacement: a group is without an owner for longer than a handover, or the roster changes by two', () => {
  const simulation = Simulation.create({ seed: 1, groups: GROUPS })
  const ids = [...bootstrap(simulation, 7)]
  simulation.advance(5_000)
  const getLongestGapMs = watchOwnershipGaps(simulation)
  const rosters = new Map<number, string>()
  simulation.onStep = () => {
    for (const { cluster } of simulation.members.values()) {
      if (cluster.roster.revision > 0) rosters.set(cluster.roster.revision, cluster.roster.members.map((member) => member.id).join(' '))
    }
  }
  for (let index = 0; index < 7; index += 1) {
    simulation.start(`n${index}`, ids)
    simulation.advance(3_000)
    const leaver = simulation.getMember(ids.shift()!)
    ids.push(`n${index}`)
    simulation.apply(leaver, { type: 'leave-requested' })
    assert.ok(simulation.advanceUntil(() => hasLeft(leaver), 5_000) !== undefined, `${leaver.id} does not leave`)
    simulation.kill(leaver.id)
    simulation.advance(1_000)
  }
  simulation.advance(5_000)
  assert.ok(getLongestGapMs() <= MAX_HANDOVER_MS, `${getLongestGapMs()} ms`)
  assert.deepEqual(simulation.getMember('n0').cluster.roster.members.map((member) => member.id).sort(), [...ids].sort())
  assert.ok(simulation.isEveryGroupOwned())
  const sizes = [...rosters].sort(([left], [right]) => left - right).map(([, members]) => members.split(' ').length)
  sizes.slice(1).forEach((size, index) => assert.equal(Math.abs(size - sizes[index]!), 1))
})

const leaveCases = [
  { guards: 'a lost response to the handover leaves groups without an owner', responseLossRatio: 0.5, members: 3 },
  { guards: 'the last member cannot leave', responseLossRatio: 0, members: 1 }
]

for (const entry of leaveCases) {
  test(`graceful leave: ${entry.guards}`, () => {
    for (let seed = 0; seed < 10; seed += 1) {
      const simulation = Simulation.create({ seed, groups: GROUPS })
      bootstrap(simulation, entry.members)
      simulation.advance(4_000)
      simulation.responseLossRatio = entry.responseLossRatio
      const leaver = simulation.getMember('m0')
      simulation.apply(leaver, { type: 'leave-requested' })
      assert.ok(simulation.advanceUntil(() => hasLeft(leaver), 20_000) !== undefined, `seed ${seed}`)
      simulation.kill('m0')
      simulation.responseLossRatio = 0
      if (entry.members === 1) simulation.start('n0', ['m0'])
      assert.ok(simulation.advanceUntil(() => simulation.isEveryGroupOwned(), 6_000) !== undefined, `seed ${seed}`)
    }
  })
}

test('a dead member stays in the roster and counts against the majority permanently', () => {
  const simulation = Simulation.create({ seed: 5, groups: GROUPS })
  bootstrap(simulation, 5)
  simulation.kill('m0')
  simulation.kill('m1')
  simulation.advance(70_000)
  assert.deepEqual(simulation.getMember('m2').cluster.roster.members.map((member) => member.id).sort(), ['m2', 'm3', 'm4'])
  simulation.kill('m3')
  assert.ok(simulation.advanceUntil(() => simulation.isEveryGroupOwned(), 6_000) !== undefined)
})

const partitionCases = [
  { guards: 'a connected member that cannot reach the store is removed from the roster', partitioned: false, withoutStore: ['m0', 'm3'], stopped: [] as string[] },
  { guards: 'owners stop although each keeps its store lease', partitioned: true, withoutStore: [] as string[], stopped: [] as string[] },
  { guards: 'a minority that cannot reach the store continues, or the majority does not take over', partitioned: true, withoutStore: ['m0', 'm1'], stopped: ['m0', 'm1'] },
  { guards: 'a majority that cannot reach the store stops', partitioned: true, withoutStore: ['m2', 'm3', 'm4'], stopped: [] as string[] }
]

for (const entry of partitionCases) {
  test(`network partition of several minutes: ${entry.guards}`, () => {
    const simulation = Simulation.create({ seed: 11, groups: GROUPS })
    const ids = bootstrap(simulation, 5)
    simulation.advance(5_000)
    const getOwners = () => new Set(Array.from({ length: GROUPS }, (_, group) => simulation.getActingMembers(group)).flat())
    const before = getOwners()
    simulation.setPartitioned(['m0', 'm1'], ['m2', 'm3', 'm4'], entry.partitioned)
    for (const id of entry.withoutStore) simulation.getMember(id).isStoreUnreachable = true
    const getLongestGapMs = watchOwnershipGaps(simulation)
    simulation.advance(240_000)
    assert.ok(simulation.isEveryGroupOwned())
    const after = getOwners()
    assert.deepEqual([...before].filter((id) => !after.has(id)), entry.stopped.filter((id) => before.has(id)))
    assert.ok(getLongestGapMs() <= (entry.stopped.length === 0 ? 0 : 6_000), `${getLongestGapMs()} ms`)
    simulation.setPartitioned(['m0', 'm1'], ['m2', 'm3', 'm4'], false)
    for (const id of ids) simulation.getMember(id).isStoreUnreachable = false
    simulation.advance(10_000)
    assert.ok(simulation.isEveryGroupOwned())
    assert.deepEqual(simulation.getMember('m3').cluster.roster.members.map((member) => member.id).sort(), ids)
  })
}

/** Bounds on store calls: less than half of several hundred writes and about 2,000 reads per second. */
const MAX_WRITES_PER_SECOND = 100
const MAX_READS_PER_SECOND = 200

const outageCases = [
  { guards: 'fast retries of members while the store is down', state: 'down' as const, forMs: 300_000 },
  { guards: 'repeated calls of members while the store is slow', state: 'slow' as const, forMs: 120_000 }
]

for (const entry of outageCases) {
  test(`store load exceeds the bound of calls per second because of ${entry.guards}`, () => {
    const simulation = Simulation.create({ seed: 12, groups: 64 })
    const ids = bootstrap(simulation, 7)
    simulation.advance(5_000)
    simulation.storeState = entry.state
    simulation.advance(entry.forMs / 2)
    simulation.kill(ids[0]!)
    simulation.advance(entry.forMs / 2)
    simulation.storeState = 'up'
    simulation.advance(30_000)
    assert.ok(simulation.isEveryGroupOwned())
    const seconds = [...simulation.callsPerSecond.values()]
    assert.ok(seconds.length > 100)
    const writes = Math.max(...seconds.map((calls) => calls.writes))
    const reads = Math.max(...seconds.map((calls) => calls.reads))
    assert.ok(writes <= MAX_WRITES_PER_SECOND && reads <= MAX_READS_PER_SECOND, `${writes} writes/s, ${reads} reads/s`)
  })
}
