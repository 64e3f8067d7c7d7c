import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Team } from '../../src/model/configuration.ts'
import { Random } from '../../src/util/random.ts'
import { amount, Rig, target, team, work } from './support.ts'

const SLOTS = 240

function fleet () {
  return Array.from({ length: 30 }, (_, index) => target(`t${index}`, { failureDomain: 'abc'[index % 3]!, rack: `r${index >> 3}` }))
}

/** Runs one-slot tasks of about two seconds until `untilMs`, with every team waiting for more than it gets. */
function saturate (rig: Rig, teams: readonly Team[], untilMs: number): void {
  const random = Random.create(5)
  teams.forEach((entry) => rig.submit(work(`g0-${entry.name}`, { kind: 'batch', count: 50_000 }, { team: entry.name })))
  while (rig.now < untilMs) {
    rig.pass(100)
    for (const id of rig.starts()) if (random.next() < 0.05) rig.end(id)
  }
}

function share (rig: Rig, name: string): number {
  return rig.scheduler.usage(name).slots / SLOTS
}

const cases = [
  { guards: 'weights of organisations', weights: { a: 1, b: 3 }, expected: { a: 0.25, b: 0.75 } },
  { guards: 'an equal split whatever the number of queues', weights: { a: 1, b: 1, c: 1 }, expected: { a: 1 / 3, b: 1 / 3, c: 1 / 3 } }
]

for (const { guards, weights, expected } of cases) {
  test(`fairness: under saturation shares follow ${guards}`, () => {
    const teams = Object.entries(weights).map(([name, weight]) => team(name, { organisation: 'one', weight }))
    const rig = new Rig(teams, fleet(), { minTargetsForReserve: Infinity })
    saturate(rig, teams, 20_000)
    for (const [name, part] of Object.entries(expected)) {
      assert.ok(Math.abs(share(rig, name) - part) < 0.05, `${name}: ${share(rig, name)}, expected ${part}`)
    }
  })
}

test('fairness: an organisation with more teams gets no more than its own share', () => {
  const teams = [team('a1', { organisation: 'a' }), team('a2', { organisation: 'a' }), team('a3', { organisation: 'a' }), team('b1', { organisation: 'b' })]
  const rig = new Rig(teams, fleet(), { minTargetsForReserve: Infinity })
  saturate(rig, teams, 20_000)
  assert.ok(Math.abs(share(rig, 'b1') - 0.5) < 0.05, `b1 ${share(rig, 'b1')}`)
  assert.ok(Math.abs(share(rig, 'a2') - 1 / 6) < 0.05, `a2 ${share(rig, 'a2')}`)
})

test('fairness: what other teams leave idle is used (work-conserving)', () => {
  const rig = new Rig([team('a'), team('b')], fleet(), { minTargetsForReserve: Infinity })
  rig.submit(work('g0-a', { kind: 'batch', count: 500 }, { team: 'a' }))
  rig.pass(2000)
  assert.equal(share(rig, 'a'), 1)
})

test('fairness: dominant shares are equal when teams need different resources most', () => {
  const teams = [team('cpu'), team('memory')]
  const rig = new Rig(teams, fleet(), { minTargetsForReserve: Infinity })
  const shapes = { cpu: { ...amount(0), cpuMillis: 1000, memoryMiB: 1024 }, memory: { ...amount(0), cpuMillis: 500, memoryMiB: 8192 } }
  for (const [name, resources] of Object.entries(shapes)) {
    rig.submit(work(`g0-${name}`, { kind: 'batch', count: 5000 }, { team: name, resources }))
  }
  const random = Random.create(6)
  while (rig.now < 20_000) {
    rig.pass(100)
    for (const id of rig.starts()) if (random.next() < 0.05) rig.end(id)
  }
  const [first, second] = rig.scheduler.overview(0).teams
  assert.ok(Math.abs(first!.share - second!.share) < 0.05, `${first!.share} and ${second!.share}`)
  assert.ok(first!.share > 0.5, `${first!.share}: each gets more than half, because they complement each other`)
})

test('fairness: the memory of past use is bounded, a team that used everything alone is not starved afterwards', () => {
  const teams = [team('old'), team('new')]
  const rig = new Rig(teams, fleet(), { minTargetsForReserve: Infinity })
  saturate(rig, teams.slice(0, 1), 60_000)
  saturate(rig, teams.slice(1), 62_000)
  const random = Random.create(7)
  while (rig.now < 120_000) {
    rig.pass(100)
    for (const id of rig.starts()) if (random.next() < 0.05) rig.end(id)
    assert.ok(share(rig, 'old') > 0.4, `old fell to ${share(rig, 'old')} at ${rig.now}`)
  }
  assert.ok(Math.abs(share(rig, 'new') - 0.5) < 0.05, `new ${share(rig, 'new')}`)
})
