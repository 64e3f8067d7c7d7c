import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Team } from '../../src/model/configuration.ts'
import { Random } from '../../src/util/random.ts'
import { createAmount, SchedulerHarness, createTarget, createTeam, createWork } from './support.ts'

const TOTAL_SLOTS = 240

function createFleet () {
  return Array.from({ length: 30 }, (_, index) => createTarget(`t${index}`, { failureDomain: 'abc'[index % 3]!, rack: `r${index >> 3}` }))
}

/** Runs one-slot tasks of about two seconds until `untilMs`, with every team waiting for more than it gets. */
function saturateFleet (harness: SchedulerHarness, teams: readonly Team[], untilMs: number): void {
  const random = Random.create(5)
  teams.forEach((entry) => harness.submit(createWork(`g0-${entry.name}`, { kind: 'batch', count: 50_000 }, { team: entry.name })))
  while (harness.now < untilMs) {
    harness.advanceTime(100)
    for (const id of harness.getRunningTasks()) if (random.next() < 0.05) harness.endTask(id)
  }
}

function getShare (harness: SchedulerHarness, name: string): number {
  return harness.scheduler.usage(name).slots / TOTAL_SLOTS
}

const cases = [
  { guards: 'the weights of the teams of an organisation', weights: { a: 1, b: 3 }, expected: { a: 0.25, b: 0.75 } },
  { guards: 'equal weights of three teams', weights: { a: 1, b: 1, c: 1 }, expected: { a: 1 / 3, b: 1 / 3, c: 1 / 3 } }
]

for (const { guards, weights, expected } of cases) {
  test(`fairness: in a full group the shares follow ${guards}`, () => {
    const teams = Object.entries(weights).map(([name, weight]) => createTeam(name, { organisation: 'one', weight }))
    const harness = new SchedulerHarness(teams, createFleet(), { minTargetsForReserve: Infinity })
    saturateFleet(harness, teams, 20_000)
    for (const [name, part] of Object.entries(expected)) {
      assert.ok(Math.abs(getShare(harness, name) - part) < 0.05, `${name}: ${getShare(harness, name)}, expected ${part}`)
    }
  })
}

test('fairness: an organisation with more teams does not get more than its share', () => {
  const teams = [createTeam('a1', { organisation: 'a' }), createTeam('a2', { organisation: 'a' }), createTeam('a3', { organisation: 'a' }), createTeam('b1', { organisation: 'b' })]
  const harness = new SchedulerHarness(teams, createFleet(), { minTargetsForReserve: Infinity })
  saturateFleet(harness, teams, 20_000)
  assert.ok(Math.abs(getShare(harness, 'b1') - 0.5) < 0.05, `b1 ${getShare(harness, 'b1')}`)
  assert.ok(Math.abs(getShare(harness, 'a2') - 1 / 6) < 0.05, `a2 ${getShare(harness, 'a2')}`)
})

test('fairness: one team uses all capacity that other teams do not need (work-conserving)', () => {
  const harness = new SchedulerHarness([createTeam('a'), createTeam('b')], createFleet(), { minTargetsForReserve: Infinity })
  harness.submit(createWork('g0-a', { kind: 'batch', count: 500 }, { team: 'a' }))
  harness.advanceTime(2000)
  assert.equal(getShare(harness, 'a'), 1)
})

test('fairness: teams whose dominant resources differ get equal dominant shares', () => {
  const teams = [createTeam('cpu'), createTeam('memory')]
  const harness = new SchedulerHarness(teams, createFleet(), { minTargetsForReserve: Infinity })
  const shapes = { cpu: { ...createAmount(0), cpuMillis: 1000, memoryMiB: 1024 }, memory: { ...createAmount(0), cpuMillis: 500, memoryMiB: 8192 } }
  for (const [name, resources] of Object.entries(shapes)) {
    harness.submit(createWork(`g0-${name}`, { kind: 'batch', count: 5000 }, { team: name, resources }))
  }
  const random = Random.create(6)
  while (harness.now < 20_000) {
    harness.advanceTime(100)
    for (const id of harness.getRunningTasks()) if (random.next() < 0.05) harness.endTask(id)
  }
  const [first, second] = harness.scheduler.overview(0).teams
  assert.ok(Math.abs(first!.share - second!.share) < 0.05, `${first!.share} and ${second!.share}`)
  assert.ok(first!.share > 0.5, `${first!.share}: each gets more than half, because they complement each other`)
})

test('fairness: past excess is bounded, so a team that used all capacity alone is not starved afterwards', () => {
  const teams = [createTeam('old'), createTeam('new')]
  const harness = new SchedulerHarness(teams, createFleet(), { minTargetsForReserve: Infinity })
  saturateFleet(harness, teams.slice(0, 1), 60_000)
  saturateFleet(harness, teams.slice(1), 62_000)
  const random = Random.create(7)
  while (harness.now < 120_000) {
    harness.advanceTime(100)
    for (const id of harness.getRunningTasks()) if (random.next() < 0.05) harness.endTask(id)
    assert.ok(getShare(harness, 'old') > 0.4, `share of old fell to ${getShare(harness, 'old')} at ${harness.now}`)
  }
  assert.ok(Math.abs(getShare(harness, 'new') - 0.5) < 0.05, `new ${getShare(harness, 'new')}`)
})
