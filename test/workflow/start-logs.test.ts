import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CommandResponse } from '../../src/ports/command-client.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import { buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

const INCARNATION = 1
/** Clock of the harness' target when the start is answered. */
const TARGET_CLOCK_MS = 61_050
const RESTARTED_CLOCK_MS = 400

const cases: ReadonlyArray<{ readonly what: string, readonly response: CommandResponse, readonly message: string, readonly fields: Readonly<Record<string, unknown>> }> = [
  {
    what: 'the incarnation that it was meant for has taken',
    response: { type: 'accepted', clockMs: TARGET_CLOCK_MS },
    message: 'start-accepted',
    fields: { incarnation: INCARNATION, clockMs: TARGET_CLOCK_MS, clockBehindMs: 0 }
  },
  {
    what: 'a later incarnation has taken',
    response: { type: 'accepted', clockMs: RESTARTED_CLOCK_MS },
    message: 'start-accepted',
    fields: { incarnation: INCARNATION, clockMs: RESTARTED_CLOCK_MS, clockBehindMs: TARGET_CLOCK_MS - RESTARTED_CLOCK_MS }
  },
  {
    what: 'was not sent',
    response: { type: 'unanswered', reason: 'incarnation-not-confirmed', sent: false },
    message: 'start-withheld',
    fields: { incarnation: INCARNATION, reason: 'incarnation-not-confirmed', askedMs: 50 }
  },
  {
    what: 'was refused',
    response: { type: 'refused', reason: 'no-room', clockMs: undefined },
    message: 'start-refused',
    fields: { incarnation: INCARNATION, reason: 'no-room' }
  }
]

for (const { what, response, message, fields } of cases) {
  // No line of a run named the life of its target, so that a start which another life had taken could not be told from the logs.
  test(`cell: guards against the failure that the logs don't tell which life of its target a start was meant for and went to: one that ${what}`, () => {
    const harness = createHarnessWithTarget()
    harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
    const { target, incarnation, command } = harness.getStarts()[0]!
    harness.now += 50
    harness.apply({ type: 'start-answered', target, incarnation, task: command.task, run: command.run, response })
    const line = findLine(harness.effects, message)
    assert.deepEqual(pick(line, Object.keys(fields)), fields)
    assert.deepEqual(pick(line, ['task', 'run', 'target']), { task: command.task, run: command.run, target })
  })
}

// The line of a run's end named its target only, which several lives share.
test('cell: guards against the failure that the end of a run does not name the life of its target', () => {
  const harness = createHarnessWithTarget()
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const { target, command } = harness.getStarts()[0]!
  harness.listTarget(target, { incarnation: 2, ended: [{ number: 1, task: command.task, run: command.run, outcome: 'done', checkpoint: '' }] })
  assert.equal(findLine(harness.effects, 'run-ended').incarnation, 2)
})

function findLine (effects: readonly CellEffect[], message: string): Readonly<Record<string, unknown>> {
  const line = effects.find((effect) => effect.type === 'log' && effect.message === message)
  assert.ok(line?.type === 'log', `no line ${message}`)
  return line.fields
}

function pick (line: Readonly<Record<string, unknown>>, names: readonly string[]): Readonly<Record<string, unknown>> {
  return Object.fromEntries(names.map((name) => [name, line[name]]))
}
