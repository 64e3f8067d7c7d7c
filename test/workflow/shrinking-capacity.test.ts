import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellHarness, buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

const shrinkingTargets = [
  { guards: 'is not resent', capacity: { cpuMillis: 500, memoryMiB: 1_000, accelerators: 0 }, resent: 0, stops: 1 },
  { guards: 'is resent if there is still room', capacity: { cpuMillis: 1_000, memoryMiB: 1_000, accelerators: 0 }, resent: 1, stops: 0 }
]

// LIMIT: a start without an answer was resent to a target whose capacity had shrunk, and brought it over its capacity.
for (const { guards, capacity, resent, stops } of shrinkingTargets) {
  test(`cell: after the capacity of its target has shrunk, a start without an answer ${guards}`, () => {
    const harness = createHarnessWithTarget()
    harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
    harness.apply({ type: 'target-published', entry: buildEntry('t1', { capacity }) })
    const sent = harness.getStarts(harness.advance(200))
    assert.equal(sent.length, resent)
    assert.equal(harness.getCommands('stop').length, stops)
  })
}

test('cell: nothing starts on a target whose capacity has shrunk below what runs there, until it has grown again', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 2 }) })
  harness.getStarts().forEach((start) => harness.acceptStart(start))
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { capacity: { cpuMillis: 2_500, memoryMiB: 1_000, accelerators: 0 } }) })
  harness.apply({ type: 'job-accepted', definition: buildJob('b', {}) })
  assert.equal(harness.getStarts().length, 2)
  harness.apply({ type: 'target-published', entry: buildEntry('t1') })
  assert.equal(harness.getStarts().length, 3)
})

test('cell: a gang of which one start is not resent is stopped as a whole', () => {
  const harness = CellHarness.create([buildEntry('t1', { capacity: { cpuMillis: 1_000, memoryMiB: 1_000, accelerators: 0 } }), buildEntry('t2', { capacity: { cpuMillis: 1_000, memoryMiB: 1_000, accelerators: 0 } })])
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 2, gang: true }) })
  const [first, second] = harness.getStarts()
  harness.acceptStart(second!)
  harness.apply({ type: 'target-published', entry: buildEntry(first!.target, { capacity: { cpuMillis: 500, memoryMiB: 1_000, accelerators: 0 } }) })
  harness.advance(200)
  assert.equal(harness.getCommands('stop').length, 2)
})

// LIMIT: a target that had started again as one of another kind got tasks for the capacity that it had before.
test('cell: a target that has started again gets no tasks until its new capacity is known', () => {
  const harness = createHarnessWithTarget()
  harness.listTarget('t1', { incarnation: 2 })
  harness.listTarget('t1', { incarnation: 2 })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  assert.equal(harness.getStarts().length, 0, 'capacity unknown')
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2, capacity: { cpuMillis: 500, memoryMiB: 1_000, accelerators: 0 } }) })
  assert.equal(harness.getStarts().length, 0, 'too small')
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  assert.equal(harness.getStarts().length, 1)
})

// BUDGET, LIMIT: a start without an answer was resent to the next incarnation of its target, beside whatever started there.
test('cell: a start without an answer is not resent to the next incarnation of its target', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  harness.advance(200)
  assert.deepEqual(harness.getStarts().filter(({ command }) => command.run === start!.command.run), [start])
  assert.equal(harness.getCommands('stop').at(-1)?.command.run, start!.command.run)
})
