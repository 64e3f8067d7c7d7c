import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AdviceTimings } from '../../src/workflow/settings/cell-configuration.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob } from './harness.ts'

const ADVICE: AdviceTimings = { decisionMs: 400, perTargetMs: 6, validityMs: 2_500 }
const QUEUES = [{ ...QUEUE, name: 'urgent', advice: ADVICE }, { ...QUEUE, name: 'batch', priority: 2, advice: ADVICE }]

function createHarness (targetCount: number): CellHarness {
  const entries = Array.from({ length: targetCount }, (_, index) => buildEntry(`t${index}`))
  return CellHarness.create(entries, { ...CONFIGURATION, queues: QUEUES })
}

function getAdviceRequests (harness: CellHarness): ReadonlyArray<{ readonly step: string, readonly targets: readonly string[] }> {
  return harness.effects.flatMap((effect) => effect.type === 'request-advice' ? [effect] : [])
}

const requestSizes = [
  { guards: 'a small step names few targets of a large cell', targets: 200, tasks: 4, minTargets: 8, maxTargets: 8 },
  { guards: 'a wide step names enough targets for its tasks although half of them are not allowed', targets: 200, tasks: 40, minTargets: 40, maxTargets: 48 },
  { guards: 'a request names at most as many targets as the platform accepts', targets: 200, tasks: 400, minTargets: 100, maxTargets: 100 },
  { guards: 'a request names all targets of a small cell', targets: 6, tasks: 40, minTargets: 6, maxTargets: 6 }
]

for (const { guards, targets, tasks, minTargets, maxTargets } of requestSizes) {
  test(`advice: ${guards}`, () => {
    const harness = createHarness(targets)
    harness.acceptJob('a', 'batch', { count: tasks })
    const named = getAdviceRequests(harness)[0]!.targets.length
    assert.ok(named >= minTargets && named <= maxTargets, `${named} targets named`)
  })
}

test('advice: steps that are submitted together do not all name the same targets', () => {
  const harness = createHarness(100)
  harness.apply({ type: 'advice-channels', channels: 8 })
  for (const id of ['a', 'b', 'c']) harness.acceptJob(id, 'batch')
  const named = new Set(getAdviceRequests(harness).flatMap(({ targets }) => targets))
  assert.ok(named.size > 16, `${named.size} different targets named in three requests of eight`)
})

test('advice: targets without free capacity are not named while others have some', () => {
  const harness = createHarness(20)
  harness.apply({ type: 'domains-out', domains: [] })
  for (let index = 0; index < 10; index++) harness.apply({ type: 'target-published', entry: buildEntry(`t${index}`, { draining: true }) })
  harness.acceptJob('a', 'batch', { count: 30 })
  assert.deepEqual(getAdviceRequests(harness)[0]!.targets.filter((target) => Number(target.slice(1)) < 10), [])
})

test('advice: requests of batch jobs leave channels free for urgent steps', () => {
  const harness = createHarness(20)
  harness.apply({ type: 'advice-channels', channels: 7 })
  for (let index = 0; index < 20; index++) harness.acceptJob(`b${index}`, 'batch')
  assert.equal(getAdviceRequests(harness).length, 4)
  harness.acceptJob('u', 'urgent')
  assert.equal(getAdviceRequests(harness).at(-1)!.step, 'u.0.0')
})

test('advice: without urgent steps for some seconds, requests of a backlog of batch jobs use all channels', () => {
  const harness = createHarness(20)
  harness.apply({ type: 'advice-channels', channels: 7 })
  harness.acceptJob('u', 'urgent')
  harness.apply({ type: 'advised', step: 'u.0.0', requestedTargets: [], response: { type: 'failed', reason: 'timeout' } })
  harness.apply({ type: 'job-cancelled', id: 'u' })
  for (let index = 0; index < 20; index++) harness.acceptJob(`b${index}`, 'batch')
  const countBatchRequests = (): number => new Set(getAdviceRequests(harness).map(({ step }) => step).filter((step) => step.startsWith('b'))).size
  assert.equal(countBatchRequests(), 4)
  harness.advance(3_000)
  assert.equal(countBatchRequests(), 7)
})

// LOST: half of the channels stood idle for ten seconds while 20 steps without advice waited, kept free for an urgent step that had no use for one.
test('advice: an urgent step that no target suits does not keep channels from a backlog of batch jobs', () => {
  const harness = createHarness(20)
  harness.apply({ type: 'advice-channels', channels: 7 })
  harness.acceptJob('u', 'urgent', { requiredLabel: 'missing' })
  for (let index = 0; index < 20; index++) harness.acceptJob(`b${index}`, 'batch')
  for (let elapsedMs = 0; elapsedMs < 3_100; elapsedMs += 100) harness.advance(100)
  assert.equal(getAdviceRequests(harness).length, 7)
})

test('advice: a new leader uses the responses that members received for the previous leader', () => {
  const harness = createHarness(3)
  const known = { step: 'a.0.0', asked: ['t0', 't1'], tickets: [{ target: 't1', ticket: 'x' }], validForMs: 1_000 }
  harness.apply({ type: 'advice-channels', channels: 0 })
  harness.apply({ type: 'job-restored', definition: { ...buildJob('a', { count: 2 }), queue: 'batch' }, progress: undefined })
  harness.apply({ type: 'advice-known', advice: [known, { ...known, step: 'gone.0.0' }] })
  assert.deepEqual(harness.getStarts().map(({ target, command }) => [target, command.ticket]), [['t1', 'x'], ['t1', 'x']])
})

test('advice: a target that was unknown when its response arrived stays allowed', () => {
  const harness = createHarness(1)
  harness.acceptJob('a', 'batch', { count: 5 })
  harness.apply({ type: 'advised', step: 'a.0.0', requestedTargets: ['t0', 'later'], response: { type: 'advised', tickets: [{ target: 't0', ticket: 'x' }, { target: 'later', ticket: 'y' }], validityMs: undefined } })
  harness.publishTarget(buildEntry('later'))
  assert.deepEqual(getAdviceRequests(harness).at(-1)!.targets, ['later'])
})

const FINISH_MS = 14_000
const REPLACEMENT_MS = 500
const ONE_CHANNEL = { type: 'advice-channels', channels: 1 } as const

// LOST: while targets were replaced all the time, the steps of late jobs never got a channel to the advisor, with most of the room free.
test('advice: a step of a late job gets a request although a job that has begun asks for each new target', () => {
  const harness = createHarness(1)
  harness.apply(ONE_CHANNEL)
  harness.acceptJob('begun', 'batch', { count: 8 })
  answer(harness, ['t0'])
  harness.publishTarget(buildEntry('t1'))
  harness.acceptJob('late', 'batch', { estimatedMs: 1 })
  for (let id = 2; harness.now < 1_000 + FINISH_MS; id++) {
    harness.now += REPLACEMENT_MS
    harness.publishTarget(buildEntry(`t${id}`))
    answer(harness, [])
  }
  assert.ok(getAdviceRequests(harness).some(({ step }) => step === 'late.0.0'), `${getAdviceRequests(harness).length} requests, none for the late job`)
})

/** Answers the last advice request: it allows the given targets. */
function answer (harness: CellHarness, allowed: readonly string[]): void {
  const { step, targets } = getAdviceRequests(harness).at(-1)!
  const tickets = allowed.map((target) => ({ target, ticket: `ticket-${target}` }))
  harness.apply({ type: 'advised', step, requestedTargets: targets, response: { type: 'advised', tickets, validityMs: 2_500 } })
}
