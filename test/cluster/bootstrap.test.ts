import assert from 'node:assert/strict'
import { test } from 'node:test'
import { bootstrap, publish, resourcesForSlots, buildTeamChanges } from './operator.ts'
import { Simulation } from './simulation.ts'

const cases = [
  { guards: 'a single member waits for peers', members: 1 },
  { guards: 'concurrent first members write two rosters or claim a group twice', members: 3 },
  { guards: 'joins of many members block each other', members: 7 }
]

for (const entry of cases) {
  test(`bootstrap on an empty store: ${entry.guards}`, () => {
    const simulation = Simulation.create({ seed: entry.members, groups: 4 })
    const ids = bootstrap(simulation, entry.members)
    simulation.advance(4_000)
    const { roster } = simulation.getMember('m0').cluster
    assert.deepEqual(roster.members.map((member) => member.id).sort(), ids)
    assert.equal(roster.revision, entry.members)
    assert.ok(simulation.isEveryGroupOwned())
    const outcome = publish(simulation, ids.at(-1)!, buildTeamChanges('team', 16))
    assert.ok(simulation.advanceUntil(() => outcome() !== undefined, 6_000) !== undefined)
    assert.equal(outcome()?.type, 'accepted')
  })
}

test('grants: a single group does not get the whole limit', () => {
  const simulation = Simulation.create({ seed: 1, groups: 1 })
  bootstrap(simulation, 1)
  publish(simulation, 'm0', buildTeamChanges('team', 16))
  simulation.advance(1_000)
  assert.deepEqual(simulation.getMember('m0').cluster.getGrant(0, 'team'), resourcesForSlots(16))
})
