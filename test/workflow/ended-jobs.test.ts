import assert from 'node:assert/strict'
import { test } from 'node:test'
import { job, withTarget } from './harness.ts'

test('cell: the definition of a cancelled job is needed until the last of its runs has ended', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  harness.confirm(harness.starts()[0]!)
  harness.apply({ type: 'job-cancelled', id: 'a' })
  assert.equal(harness.cell.needsDefinition('a'), true)
  const effects = harness.end(harness.starts()[0]!, 'stopped')
  assert.ok(effects.some((effect) => effect.type === 'store-progress' && effect.job === 'a'), 'its definition goes with another commit')
  assert.equal(harness.cell.needsDefinition('a'), false)
})

test('cell: a released job is still shown, is not accepted again, and is forgotten after a while', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  harness.end(harness.starts()[0]!, 'done')
  harness.apply({ type: 'progress-stored', phases: new Map([['a', 'completed']]), released: ['a'], ends: [] })
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  assert.equal(harness.starts().length, 1)
  assert.equal(harness.cell.phaseOf('a'), 'completed')
  assert.ok(harness.pass(160_000).some((effect) => effect.type === 'forget-job'))
  assert.equal(harness.cell.phaseOf('a'), undefined)
})
