import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellHarness, buildEntry, buildJob } from './harness.ts'
import type { SentCommand } from './harness.ts'

const LEASE_MS = 3_500
const STEP_MS = 100

/** A run on `t1` at the restart of the target. `answered`: its start; `listed`: by the incarnation before, after that answer. */
type Restart = {
  readonly guards: string
  readonly longestLeaseMs?: number
  readonly adoptedMsAgo?: number
  readonly startedTwice?: boolean
  readonly answered: boolean
  readonly listed: boolean
  /** Whether the task may start elsewhere at the restart, or only after a listing or the leases. */
  readonly expected: 'at once' | 'later'
}

const restarts: readonly Restart[] = [
  { guards: 'was answered and listed', answered: true, listed: true, expected: 'at once' },
  { guards: 'was answered and listed, with a longest lease of 6 s', longestLeaseMs: 6_000, answered: true, listed: true, expected: 'at once' },
  { guards: 'was listed, but a copy of its start had no answer', startedTwice: true, answered: true, listed: true, expected: 'later' },
  { guards: 'was answered by either incarnation', answered: true, listed: false, expected: 'later' },
  { guards: 'was not answered', answered: false, listed: false, expected: 'later' },
  { guards: 'was taken over 25 s ago', adoptedMsAgo: 25_000, answered: true, listed: true, expected: 'at once' },
  { guards: 'was taken over 5 s ago, so that a copy of another owner may arrive', adoptedMsAgo: 5_000, answered: true, listed: true, expected: 'later' }
]

/** Lets the task `a.0.0.0` run on `t1`, and `t2` have room. */
function createRun ({ longestLeaseMs = 10_000, adoptedMsAgo, startedTwice = false, answered, listed }: Omit<Restart, 'guards' | 'expected'>): CellHarness {
  const harness = CellHarness.create([buildEntry('t1')], undefined, { leaseMs: LEASE_MS, longestLeaseMs })
  harness.apply({ type: 'job-restored', definition: buildJob('a', { longRunning: true }), progress: undefined })
  if (adoptedMsAgo !== undefined) return adoptRun(harness, adoptedMsAgo)
  const [start] = harness.getStarts()
  if (startedTwice) harness.advance(200)
  if (answered) harness.acceptStart(start!)
  harness.now += 1_000
  if (listed) harness.listTarget('t1', { running: harness.runningOn('t1') })
  harness.publishTarget(buildEntry('t2'))
  return harness
}

function adoptRun (harness: CellHarness, ageMs: number): CellHarness {
  const [start] = harness.getStarts()
  const successor = CellHarness.create([], undefined, { leaseMs: LEASE_MS, firstRunNumber: 1_000_001 })
  successor.scheduler.expectEarlierRuns()
  successor.apply({ type: 'job-restored', definition: buildJob('a', { longRunning: true }), progress: undefined })
  for (const id of ['t1', 't2']) {
    successor.apply({ type: 'target-published', entry: buildEntry(id) })
    successor.apply({ type: 'targets-stored', ids: [id] })
    successor.listTarget(id, { running: id === 't1' ? [toListedRun(start!)] : [] })
  }
  successor.apply({ type: 'earlier-runs-listed' })
  successor.now += ageMs
  successor.listTarget('t1', { running: successor.runningOn('t1') })
  return successor
}

function toListedRun ({ command: { task, run } }: SentCommand): { readonly task: string, readonly run: number, readonly checkpoint: string, readonly percent: number, readonly gauge: undefined } {
  return { task, run, checkpoint: '', percent: 0, gauge: undefined }
}

for (const { guards, expected, ...run } of restarts) {
  // LOST: a run that only the incarnation before can have was kept until the next one listed its runs, or for 22 s if it never did.
  test(`cell: guards against the failure that a task whose run ${guards} starts elsewhere ${expected === 'at once' ? 'late' : 'at once'} after the restart of its target`, () => {
    const harness = createRun(run)
    const startCount = harness.getStarts().length
    harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
    harness.advance(STEP_MS)
    assert.equal(harness.getStarts().length - startCount, expected === 'at once' ? 1 : 0)
  })
}

// TWICE: a leader in its grace takes the runs of a restarted target for gone; its successor has adopted them and starts them again too.
test('cell: guards against the failure that a run which a restart has ended starts again before this owner was alone after the first restart', () => {
  const harness = createRun({ answered: true, listed: true })
  const aloneUntil = harness.now - 1
  harness.apply({ type: 'tick', aloneUntil })
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  const restartedAt = harness.now
  harness.now += 500
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 3 }) })
  harness.apply({ type: 'tick', aloneUntil })
  assert.equal(harness.getStarts().length, 1)
  harness.apply({ type: 'tick', aloneUntil: restartedAt })
  assert.equal(harness.getStarts().length, 2)
})

// TWICE: the next incarnation has a run that was taken for ended, and the task has started elsewhere.
test('cell: guards against the failure that a run which a restart should have ended goes on beside the next one of its task', () => {
  const harness = createRun({ answered: true, listed: true })
  const [start] = harness.getStarts()
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.advance(STEP_MS)
  assert.deepEqual(harness.getStarts().map(({ target }) => target), ['t1', 't2'])
  harness.listTarget('t1', { incarnation: 2, clockMs: 500, running: [toListedRun(start!)] })
  assert.deepEqual(harness.getCommands('stop').map(({ target, command }) => [target, command.run]), [['t1', start!.command.run]])
})
