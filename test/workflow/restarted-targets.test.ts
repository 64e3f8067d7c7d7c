import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CommandResponse } from '../../src/ports/command-client.ts'
import type { SentCommand, CellHarness } from './harness.ts'
import { buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

/** Clock of a target that has worked for long. */
const OLD_CLOCK_MS = 400_000

function answer (harness: CellHarness, { type, target, command }: SentCommand, response: CommandResponse, incarnation = 1): void {
  harness.apply({ type: type === 'start' ? 'start-answered' : 'stop-answered', target, incarnation, task: command.task, run: command.run, response })
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

const UNANSWERED = { type: 'unanswered', reason: 'timeout' } as const
const ACCEPTED = { type: 'accepted', clockMs: 10 } as const

/** Starts a run with two commands, of which the first stays without an answer. */
function startTwice (harness: CellHarness): SentCommand {
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  harness.advance(200)
  answer(harness, start!, UNANSWERED)
  answer(harness, start!, ACCEPTED)
  return start!
}

/** The next incarnation is published and listed twice, without any runs. */
function restart (harness: CellHarness): void {
  harness.now += 10
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.listTarget('t1', { incarnation: 2 })
  harness.now += 10
  harness.listTarget('t1', { incarnation: 2 })
}

/** The new incarnation rejects a run from now on, and lists its runs after that. */
function answerStopAndList (harness: CellHarness): void {
  answer(harness, harness.getCommands('stop').at(-1)!, ACCEPTED, 2)
  harness.now += 10
  harness.listTarget('t1', { incarnation: 2 })
}

// TWICE: the late copy of a start reached the next incarnation, which knew neither the run nor a term, while the task ran elsewhere.
test('cell: a run with an unanswered start is stopped on the next incarnation of its target before its task starts again', () => {
  const harness = createHarnessWithTarget()
  startTwice(harness)
  harness.publishTarget(buildEntry('t2'))
  restart(harness)
  assert.equal(harness.getStarts().length, 2, 'the start and its copy')
  assert.equal(harness.getCommands('stop').at(-1)?.incarnation, 2)
  answerStopAndList(harness)
  assert.equal(harness.getStarts().length, 3)
})

// TWICE: the answer of the incarnation before to a stop was taken for one of the next incarnation.
test('cell: a stop that the incarnation before has answered is sent again to the next one', () => {
  const harness = createHarnessWithTarget()
  startTwice(harness)
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'job-cancelled', id: 'a' })
  const [stop] = harness.getCommands('stop')
  answer(harness, stop!, ACCEPTED)
  restart(harness)
  assert.ok([...harness.scheduler.getTarget('t1')!.runs.values()].some(({ task }) => task.key === 'a.0.0.0'), 'the next incarnation has not rejected the run')
  answer(harness, stop!, ACCEPTED)
  harness.now += 10
  harness.listTarget('t1', { incarnation: 2 })
  assert.ok([...harness.scheduler.getTarget('t1')!.runs.values()].some(({ task }) => task.key === 'a.0.0.0'), 'a late answer of the incarnation before does not count')
  answerStopAndList(harness)
  assert.equal(harness.scheduler.getTarget('t1')!.runs.size, 0)
})

// TWICE: the late copy of a start reached the next incarnation after the run had ended as done on the one before.
test('cell: a run that has ended is stopped on the next incarnation until that answers, if a start of it had no answer', () => {
  const harness = createHarnessWithTarget()
  const start = startTwice(harness)
  harness.completeRun({ target: 't1', command: start.command as never }, 'done')
  restart(harness)
  const stopsOfRun = (): number => harness.getCommands('stop').filter(({ incarnation, command }) => incarnation === 2 && command.run === start.command.run).length
  assert.equal(stopsOfRun(), 1)
  harness.advance(200)
  assert.equal(stopsOfRun(), 2, 'sent again without an answer')
  answer(harness, harness.getCommands('stop').at(-1)!, ACCEPTED, 2)
  harness.advance(200)
  assert.equal(stopsOfRun(), 2)
})
