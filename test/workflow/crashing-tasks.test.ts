import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Step } from '../../src/workflow/job.ts'
import { CrashingCell } from './crashing-cell.ts'
import type { CrashEvidence } from './crashing-cell.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'

/** The rule allows two more starts after the third target has crashed under a task; a third one breaks it. */
const MAX_STARTS = 5
const END_MS = 60_000

type Case = { readonly guards: string, readonly step?: Partial<Step>, readonly evidence?: CrashEvidence, readonly takeoversAtMs?: readonly number[] }

const crashing: readonly Case[] = [
  { guards: 'whose ports are closed until others come at their addresses' },
  { guards: 'that start again under their ids', evidence: 'same-id' },
  { guards: 'that fall silent until others answer at their addresses', evidence: 'replaced' },
  { guards: 'two at a time, because copies of it may run', step: { speculative: true } },
  { guards: 'beside the other members of its gang', step: { gang: true, count: 3 } },
  { guards: 'although it is to run until it is cancelled', step: { longRunning: true } },
  { guards: 'while the leader changes', takeoversAtMs: [4_000, 9_000, 14_000] },
  { guards: 'while the leader changes and targets start again under their ids', evidence: 'same-id', takeoversAtMs: [4_000, 9_000, 14_000] }
]

// BUDGET: one task crashed target after target, without end, and took the runs beside it down each time.
for (const { guards, step, evidence, takeoversAtMs } of crashing) {
  test(`cell: a task that crashes targets ${guards} is given up before its sixth start`, () => {
    const cell = CrashingCell.create({ step, evidence, takeoversAtMs })
    cell.runUntil(END_MS)
    assert.ok(cell.crashingStarts <= MAX_STARTS, `${cell.crashingStarts} starts`)
    assert.equal(cell.getPhase('deadly'), 'failed')
  })
}

// The runs beside such a task were lost again and again, because they started again beside it.
test('cell: jobs with runs beside a task that crashes its targets are completed', () => {
  const cell = CrashingCell.create({ neighbours: 12 })
  cell.runUntil(END_MS)
  assert.deepEqual(cell.getPhases('neighbour'), new Array(12).fill('completed'))
})

// A machine that was only silent for a while had its running work given up.
test('cell: a task whose targets fall silent again and again, and come back, is not given up', () => {
  const cell = CrashingCell.create({ evidence: 'silent' })
  cell.runUntil(END_MS)
  assert.ok(cell.crashingStarts > MAX_STARTS, `${cell.crashingStarts} starts`)
  assert.equal(cell.getPhase('deadly'), 'running')
})

const reports = [
  { guards: 'twice by another target that answers at its address', report: ['other-incarnation', 'other-incarnation', 'replaced'] },
  { guards: 'by an answer and by a new entry', report: ['replaced', 'other-incarnation'] },
  { guards: 'by closed ports alone', report: ['no-listener', 'no-listener', 'no-listener'] }
] as const

// A task was given up after one crash, because each sign of it was counted.
for (const { guards, report } of reports) {
  test(`cell: a crash that is reported ${guards} does not give up the task`, () => {
    const harness = CellHarness.create([buildEntry('t1'), buildEntry('t2'), buildEntry('t3')])
    harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
    const [start] = harness.getStarts()
    const id = start!.target
    for (const sign of report) {
      harness.advance(100)
      if (sign === 'replaced') harness.apply({ type: 'target-published', entry: buildEntry('t4', { address: `${id}:80`, incarnation: 2 }) })
      else harness.apply({ type: 'target-silent', id, cause: sign })
    }
    assert.deepEqual(getEndedJobs(harness), [])
    assert.ok(countLines(harness, 'target-crashed') <= 1, 'one line for a crash')
  })
}

// A task was given up after one crash, because its target crashed twice more before it listed its runs.
test('cell: the crashes of later incarnations of a target do not count for a run that only the first one had', () => {
  const harness = CellHarness.create([buildEntry('t1')])
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.acceptStart(harness.getStarts()[0]!)
  for (let incarnation = 2; incarnation <= 5; incarnation++) harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation }) })
  assert.deepEqual(getEndedJobs(harness), [])
})

/** The jobs that the scheduler has ended, whether that is stored or not. */
function getEndedJobs (harness: CellHarness): readonly unknown[] {
  return harness.effects.flatMap((effect) => effect.type === 'log' && effect.message === 'job-ended' ? [effect.fields.job] : [])
}

function countLines (harness: CellHarness, message: string): number {
  return harness.effects.filter((effect) => effect.type === 'log' && effect.message === message).length
}
