import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildJob, createHarnessWithTarget } from './harness.ts'

test('cell: the definition of a cancelled job is needed until the last of its runs has ended', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.acceptStart(harness.getStarts()[0]!)
  harness.apply({ type: 'job-cancelled', id: 'a' })
  assert.equal(harness.scheduler.needsDefinition('a'), true)
  const effects = harness.completeRun(harness.getStarts()[0]!, 'stopped')
  assert.ok(effects.some((effect) => effect.type === 'store-progress' && effect.job === 'a'), 'its definition is removed in another commit')
  assert.equal(harness.scheduler.needsDefinition('a'), false)
})

test('cell: a released job is still reported, is not accepted again, and is removed after the retention time', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.completeRun(harness.getStarts()[0]!, 'done')
  harness.apply({ type: 'progress-stored', phases: new Map([['a', 'completed']]), released: ['a'], completions: [] })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  assert.equal(harness.getStarts().length, 1)
  assert.equal(harness.scheduler.getPhase('a'), 'completed')
  assert.ok(harness.advance(160_000).some((effect) => effect.type === 'forget-job'))
  assert.equal(harness.scheduler.getPhase('a'), undefined)
})
