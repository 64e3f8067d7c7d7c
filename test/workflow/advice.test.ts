import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AdviceTerms } from '../../src/workflow/cell-configuration.ts'
import { CONFIGURATION, CellHarness, QUEUE, entry, job } from './harness.ts'

const ADVICE: AdviceTerms = { decisionMs: 400, eachTargetMs: 6, validityMs: 2_500 }
const QUEUES = [{ ...QUEUE, name: 'urgent', advice: ADVICE }, { ...QUEUE, name: 'batch', priority: 2, advice: ADVICE }]

function cellWith (targets: number): CellHarness {
  const entries = Array.from({ length: targets }, (_, index) => entry(`t${index}`))
  return CellHarness.create(entries, { ...CONFIGURATION, queues: QUEUES })
}

function requests (harness: CellHarness): ReadonlyArray<{ readonly step: string, readonly targets: readonly string[] }> {
  return harness.effects.flatMap((effect) => effect.type === 'request-advice' ? [effect] : [])
}

const sizes = [
  { guards: 'a small step names few targets of a large cell', targets: 200, tasks: 4, least: 8, most: 8 },
  { guards: 'a wide step names enough targets for its tasks although half of them are not allowed', targets: 200, tasks: 40, least: 40, most: 48 },
  { guards: 'a question has at most as many targets as the platform takes', targets: 200, tasks: 400, least: 100, most: 100 },
  { guards: 'a small cell is named whole', targets: 6, tasks: 40, least: 6, most: 6 }
]

for (const { guards, targets, tasks, least, most } of sizes) {
  test(`advice: ${guards}`, () => {
    const harness = cellWith(targets)
    harness.apply({ type: 'job-accepted', definition: { ...job('a', { count: tasks }), queue: 'batch' } })
    const named = requests(harness)[0]!.targets.length
    assert.ok(named >= least && named <= most, `${named} targets named`)
  })
}

test('advice: steps that come together do not all name the same targets', () => {
  const harness = cellWith(100)
  harness.apply({ type: 'advice-channels', channels: 8 })
  for (const id of ['a', 'b', 'c']) harness.apply({ type: 'job-accepted', definition: { ...job(id, {}), queue: 'batch' } })
  const named = new Set(requests(harness).flatMap(({ targets }) => targets))
  assert.ok(named.size > 16, `${named.size} different targets named in three questions of eight`)
})

test('advice: targets without room are not named while others have some', () => {
  const harness = cellWith(20)
  harness.apply({ type: 'domains-out', domains: [] })
  for (let index = 0; index < 10; index++) harness.apply({ type: 'target-published', entry: entry(`t${index}`, { draining: true }) })
  harness.apply({ type: 'job-accepted', definition: { ...job('a', { count: 30 }), queue: 'batch' } })
  assert.deepEqual(requests(harness)[0]!.targets.filter((target) => Number(target.slice(1)) < 10), [])
})

test('advice: questions of batch work leave members free for urgent steps', () => {
  const harness = cellWith(20)
  harness.apply({ type: 'advice-channels', channels: 7 })
  for (let index = 0; index < 20; index++) harness.apply({ type: 'job-accepted', definition: { ...job(`b${index}`, {}), queue: 'batch' } })
  assert.equal(requests(harness).length, 4)
  harness.apply({ type: 'job-accepted', definition: { ...job('u', {}), queue: 'urgent' } })
  assert.equal(requests(harness).at(-1)!.step, 'u.0.0')
})

test('advice: a new leader uses the answers that members have had for the earlier one', () => {
  const harness = cellWith(3)
  const known = { step: 'a.0.0', asked: ['t0', 't1'], tickets: [{ target: 't1', ticket: 'x' }], validForMs: 1_000 }
  harness.apply({ type: 'advice-channels', channels: 0 })
  harness.apply({ type: 'job-restored', definition: { ...job('a', { count: 2 }), queue: 'batch' }, progress: undefined })
  harness.apply({ type: 'advice-known', advice: [known, { ...known, step: 'gone.0.0' }] })
  assert.deepEqual(harness.starts().map(({ target, command }) => [target, command.ticket]), [['t1', 'x'], ['t1', 'x']])
})

test('advice: a target that was not known when its answer came stays allowed', () => {
  const harness = cellWith(1)
  harness.apply({ type: 'job-accepted', definition: { ...job('a', { count: 5 }), queue: 'batch' } })
  harness.apply({ type: 'advised', step: 'a.0.0', asked: ['t0', 'later'], answer: { type: 'advised', tickets: [{ target: 't0', ticket: 'x' }, { target: 'later', ticket: 'y' }], validityMs: undefined } })
  harness.publish(entry('later'))
  assert.deepEqual(requests(harness).at(-1)!.targets, ['later'])
})
