import assert from 'node:assert/strict'
import { test } from 'node:test'
import { bootstrap } from './operator.ts'
import { Simulation } from './simulation.ts'
import type { Member } from './simulation.ts'

const GROUPS = 8
/** One store transaction and one watch, of at most 8 ms each in the simulation, and the 5 ms between two looks. */
const HANDOVER_MS = 25

/** The longest time that any group was without an owner that may act. */
function watchGaps (simulation: Simulation): () => number {
  const since = new Map<number, number>()
  let longest = 0
  simulation.every(1, () => {
    for (let group = 0; group < GROUPS; group += 1) {
      const actors = simulation.actors(group)
      if (actors.length === 1) since.set(group, simulation.now)
      assert.ok(actors.length <= 1)
      longest = Math.max(longest, simulation.now - (since.get(group) ?? simulation.now))
    }
  })
  return () => longest
}

function hasLeft (member: Member): boolean {
  return member.effects.some(({ effect }) => effect.type === 'left')
}

test('rolling replacement: a group is without an owner for longer than a handover, or the roster changes by two', () => {
  const simulation = Simulation.create({ seed: 1, groups: GROUPS })
  const ids = [...bootstrap(simulation, 7)]
  simulation.advance(5_000)
  const longest = watchGaps(simulation)
  const rosters = new Map<number, string>()
  simulation.onStep = () => {
    for (const { cluster } of simulation.members.values()) {
      if (cluster.roster.revision > 0) rosters.set(cluster.roster.revision, cluster.roster.members.map((member) => member.id).join(' '))
    }
  }
  for (let index = 0; index < 7; index += 1) {
    simulation.start(`n${index}`, ids)
    simulation.advance(3_000)
    const leaver = simulation.member(ids.shift()!)
    ids.push(`n${index}`)
    simulation.apply(leaver, { type: 'leave-requested' })
    assert.ok(simulation.until(() => hasLeft(leaver), 5_000) !== undefined, `${leaver.id} does not leave`)
    simulation.kill(leaver.id)
    simulation.advance(1_000)
  }
  simulation.advance(5_000)
  assert.ok(longest() <= HANDOVER_MS, `${longest()} ms`)
  assert.deepEqual(simulation.member('n0').cluster.roster.members.map((member) => member.id).sort(), [...ids].sort())
  assert.ok(simulation.allOwned())
  const sizes = [...rosters].sort(([left], [right]) => left - right).map(([, members]) => members.split(' ').length)
  sizes.slice(1).forEach((size, index) => assert.equal(Math.abs(size - sizes[index]!), 1))
})

const leaves = [
  { guards: 'a lost answer of the handover leaves groups behind', answerLoss: 0.5, members: 3 },
  { guards: 'the last member cannot leave', answerLoss: 0, members: 1 }
]

for (const entry of leaves) {
  test(`graceful leave: ${entry.guards}`, () => {
    for (let seed = 0; seed < 10; seed += 1) {
      const simulation = Simulation.create({ seed, groups: GROUPS })
      bootstrap(simulation, entry.members)
      simulation.advance(4_000)
      simulation.answerLoss = entry.answerLoss
      const leaver = simulation.member('m0')
      simulation.apply(leaver, { type: 'leave-requested' })
      assert.ok(simulation.until(() => hasLeft(leaver), 20_000) !== undefined, `seed ${seed}`)
      simulation.kill('m0')
      simulation.answerLoss = 0
      if (entry.members === 1) simulation.start('n0', ['m0'])
      assert.ok(simulation.until(() => simulation.allOwned(), 6_000) !== undefined, `seed ${seed}`)
    }
  })
}

test('a dead member stays in the roster and counts against the majority for ever', () => {
  const simulation = Simulation.create({ seed: 5, groups: GROUPS })
  bootstrap(simulation, 5)
  simulation.kill('m0')
  simulation.kill('m1')
  simulation.advance(70_000)
  assert.deepEqual(simulation.member('m2').cluster.roster.members.map((member) => member.id).sort(), ['m2', 'm3', 'm4'])
  simulation.kill('m3')
  assert.ok(simulation.until(() => simulation.allOwned(), 6_000) !== undefined)
})

const regions = [
  { guards: 'a connected member without the store is removed from the roster', parted: false, storeless: ['m0', 'm3'], stopped: [] as string[] },
  { guards: 'owners stop although each keeps its store lease', parted: true, storeless: [] as string[], stopped: [] as string[] },
  { guards: 'a minority without the store goes on, or the majority does not take over', parted: true, storeless: ['m0', 'm1'], stopped: ['m0', 'm1'] },
  { guards: 'a majority without the store stops', parted: true, storeless: ['m2', 'm3', 'm4'], stopped: [] as string[] }
]

for (const entry of regions) {
  test(`regions parted for minutes: ${entry.guards}`, () => {
    const simulation = Simulation.create({ seed: 11, groups: GROUPS })
    const ids = bootstrap(simulation, 5)
    simulation.advance(5_000)
    const owners = () => new Set(Array.from({ length: GROUPS }, (_, group) => simulation.actors(group)).flat())
    const before = owners()
    simulation.part(['m0', 'm1'], ['m2', 'm3', 'm4'], entry.parted)
    for (const id of entry.storeless) simulation.member(id).cutFromStore = true
    const longest = watchGaps(simulation)
    simulation.advance(240_000)
    assert.ok(simulation.allOwned())
    const after = owners()
    assert.deepEqual([...before].filter((id) => !after.has(id)), entry.stopped.filter((id) => before.has(id)))
    assert.ok(longest() <= (entry.stopped.length === 0 ? 0 : 6_000), `${longest()} ms`)
    simulation.part(['m0', 'm1'], ['m2', 'm3', 'm4'], false)
    for (const id of ids) simulation.member(id).cutFromStore = false
    simulation.advance(10_000)
    assert.ok(simulation.allOwned())
    assert.deepEqual(simulation.member('m3').cluster.roster.members.map((member) => member.id).sort(), ids)
  })
}

/** Under half of several hundred writes and about 2,000 reads a second. */
const WRITES_BOUND = 100
const READS_BOUND = 200

const outages = [
  { guards: 'members that retry fast while the store refuses', state: 'down' as const, forMs: 300_000 },
  { guards: 'members that send again while the store is slow', state: 'slow' as const, forMs: 120_000 }
]

for (const entry of outages) {
  test(`store load: more calls a second than the bound through ${entry.guards}`, () => {
    const simulation = Simulation.create({ seed: 12, groups: 64 })
    const ids = bootstrap(simulation, 7)
    simulation.advance(5_000)
    simulation.storeState = entry.state
    simulation.advance(entry.forMs / 2)
    simulation.kill(ids[0]!)
    simulation.advance(entry.forMs / 2)
    simulation.storeState = 'up'
    simulation.advance(30_000)
    assert.ok(simulation.allOwned())
    const seconds = [...simulation.callsPerSecond.values()]
    assert.ok(seconds.length > 100)
    const writes = Math.max(...seconds.map((calls) => calls.writes))
    const reads = Math.max(...seconds.map((calls) => calls.reads))
    assert.ok(writes <= WRITES_BOUND && reads <= READS_BOUND, `${writes} writes/s, ${reads} reads/s`)
  })
}
