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
