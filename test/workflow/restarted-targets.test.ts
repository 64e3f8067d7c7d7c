import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CommandResponse } from '../../src/ports/command-client.ts'
import type { SentCommand, CellHarness } from './harness.ts'
import { buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

/** Clock of a target that has worked for long. */
const OLD_CLOCK_MS = 400_000

function answer (harness: CellHarness, { type, target, command }: SentCommand, response: CommandResponse): void {
  harness.apply({ type: type === 'start' ? 'start-answered' : 'stop-answered', target, task: command.task, run: command.run, response })
}

// LOST: the clock of the next incarnation was recorded for the one before, so that the lease of its runs seemed to last for minutes.
test('cell: the lease of a silent target expires although its next incarnation has answered a start', () => {
  const harness = createHarnessWithTarget()
  harness.listTarget('t1', { clockMs: OLD_CLOCK_MS })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  answer(harness, start!, { type: 'accepted', clockMs: 40 })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  harness.publishTarget(buildEntry('t2'))
  harness.advance(30_000)
  assert.equal(harness.getStarts().at(-1)!.target, 't2')
})

// LOST: the clock of the incarnation before was recorded for the next one, whose leases then ended minutes later.
test('cell: an answer of the incarnation before does not change the clock of a target', () => {
  const harness = createHarnessWithTarget()
  harness.listTarget('t1', { clockMs: OLD_CLOCK_MS })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.listTarget('t1', { incarnation: 2, clockMs: 40 })
  answer(harness, start!, { type: 'accepted', clockMs: OLD_CLOCK_MS })
  assert.equal(harness.scheduler.getTarget('t1')!.estimateClockMs(harness.now), 40)
})
