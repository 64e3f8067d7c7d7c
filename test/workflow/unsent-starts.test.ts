import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CommandResponse } from '../../src/ports/command-client.ts'
import { buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

const cases: ReadonlyArray<{ readonly what: string, readonly response: CommandResponse, readonly startsElsewhere: boolean }> = [
  { what: 'certainly was not sent starts elsewhere at once', response: { type: 'unanswered', reason: 'incarnation-not-confirmed', sent: false }, startsElsewhere: true },
  { what: 'may have been executed does not start elsewhere', response: { type: 'unanswered', reason: 'timeout' }, startsElsewhere: false }
]

for (const { what, response, startsElsewhere } of cases) {
  // LOST: a start that nobody had sent was waited for as if it could still be executed, for up to 12 s.
  test(`cell: guards against the failure that a start counts as executed, or as not executed, by mistake: a task whose start ${what}`, () => {
    const harness = createHarnessWithTarget()
    harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
    harness.publishTarget(buildEntry('t2'))
    const { target, incarnation, command } = harness.getStarts()[0]!
    harness.now += 50
    harness.apply({ type: 'start-answered', target, incarnation, task: command.task, run: command.run, response })
    harness.advance(50)
    assert.deepEqual(harness.getStarts().map((start) => start.target), startsElsewhere ? ['t1', 't2'] : ['t1'])
    assert.equal(harness.scheduler.getTarget('t1')!.unansweredStarts.size, startsElsewhere ? 0 : 1)
  })
}

const SILENCE: CommandResponse = { type: 'unanswered', reason: 'timeout' }
const UNSENT: CommandResponse = { type: 'unanswered', reason: 'no-listener', sent: false }
const resends: ReadonlyArray<{ readonly what: string, readonly responses: readonly CommandResponse[], readonly startsElsewhere: boolean }> = [
  { what: 'the first copy may have been executed', responses: [SILENCE, UNSENT], startsElsewhere: false },
  { what: 'the second copy may have been executed', responses: [UNSENT, SILENCE], startsElsewhere: false },
  { what: 'neither copy was sent', responses: [UNSENT, UNSENT], startsElsewhere: true }
]

for (const { what, responses, startsElsewhere } of resends) {
  // A task waited for a start that had been sent again before it was known that no copy of it had left; TWICE if one may have.
  test(`cell: guards against the failure that copies of a start are taken for sent, or for not sent, because of one of them: ${what}`, () => {
    const harness = createHarnessWithTarget()
    harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
    harness.advance(200)
    const starts = harness.getStarts()
    assert.deepEqual(starts.map(({ command: { run } }) => run), [1, 1])
    harness.publishTarget(buildEntry('t2'))
    for (const [index, response] of responses.entries()) {
      const { target, incarnation, command } = starts[index]!
      harness.apply({ type: 'start-answered', target, incarnation, task: command.task, run: command.run, response })
    }
    harness.advance(50)
    assert.equal(harness.scheduler.getTarget('t1')!.unansweredStarts.size, startsElsewhere ? 0 : 1)
    assert.deepEqual(harness.getStarts().map((start) => start.target), startsElsewhere ? ['t1', 't1', 't2'] : ['t1', 't1'])
  })
}
