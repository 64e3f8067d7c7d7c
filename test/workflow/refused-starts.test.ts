import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CommandRefusal } from '../../src/ports/command-client.ts'
import type { Queue } from '../../src/workflow/settings/cell-configuration.ts'
import type { Step } from '../../src/workflow/job.ts'
import { DEFAULT_CELL_OPTIONS } from '../../src/workflow/options.ts'
import type { ListedRun } from '../../src/workflow/target-entry.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob } from './harness.ts'
import type { SentCommand } from './harness.ts'
import { SimulatedAdvisor } from './simulated-advisor.ts'

/** Ticks that show how often a refused task starts, and their distance in milliseconds. */
const OBSERVED_TICKS = 200
const TICK_MS = 50
/** Starts of one task that are not a busy loop in the observed time. */
const MAX_STARTS = 20

type Start = ReturnType<CellHarness['getStarts']>[number]

/**
 * Advances the time. The targets with the given ids refuse all starts, the others accept them and run them without an end.
 * Stops are carried out.
 */
function refuseStartsOn (harness: CellHarness, ids: readonly string[], reason: CommandRefusal): void {
  const present = new Map<string, Start>()
  let handled = 0
  for (let tick = 0; tick < OBSERVED_TICKS; tick += 1) {
    const commands = harness.effects.filter((effect): effect is SentCommand => effect.type === 'start' || effect.type === 'stop').slice(handled)
    handled += commands.length
    for (const command of commands) answer(harness, command, ids.includes(command.target) ? reason : undefined, present)
    harness.advance(TICK_MS)
    for (const id of ['t1', 't2']) harness.listTarget(id, { running: [...present.values()].filter(({ target }) => target === id).map((start) => toListedRun(start, tick)) })
  }
}

function answer (harness: CellHarness, sent: SentCommand, refusal: CommandRefusal | undefined, present: Map<string, Start>): void {
  const { target, command: { task, run } } = sent
  if (sent.type === 'stop') {
    present.delete(task)
    harness.apply({ type: 'stop-answered', incarnation: 1, target, task, run, response: { type: 'accepted', clockMs: harness.now } })
  } else if (refusal === undefined) {
    present.set(task, sent)
    harness.acceptStart(sent)
  } else {
    refuse(harness, sent, refusal)
  }
}

function refuse (harness: CellHarness, { target, command: { task, run } }: Start, reason: CommandRefusal): void {
  harness.apply({ type: 'start-answered', incarnation: 1, target, task, run, response: { type: 'refused', reason, clockMs: harness.now } })
}

/** The percentage rises, because a run without progress would be moved. */
function toListedRun ({ command: { task, run } }: Start, tick: number): ListedRun {
  return { task, run, checkpoint: '', percent: Math.floor(100 * tick / OBSERVED_TICKS), gauge: undefined }
}

const steps: ReadonlyArray<{ readonly kind: string, readonly step: Partial<Step> }> = [
  { kind: 'a task', step: {} },
  { kind: 'a gang', step: { count: 2, gang: true } },
  { kind: 'a task that lasts', step: { longRunning: true } }
]

for (const { kind, step } of steps) {
  // A target answered starts with a status that is not understood: the refusals counted as failed runs, and the job failed.
  test(`command responses: guards against the failure that ${kind} fails its job because its starts are refused as invalid`, () => {
    const harness = CellHarness.create([buildEntry('t1'), buildEntry('t2')])
    harness.apply({ type: 'job-accepted', definition: buildJob('a', step) })
    refuseStartsOn(harness, ['t1', 't2'], 'invalid')
    assert.equal(harness.scheduler.getProgress('a')!.phase, 'running')
    const starts = harness.getStarts().filter(({ command }) => command.task === 'a.0.0.0')
    assert.ok(starts.length >= 2 && starts.length <= MAX_STARTS, `${starts.length} starts`)
  })

  test(`command responses: ${kind} that one target refuses as invalid runs on another`, () => {
    const harness = CellHarness.create([buildEntry('t1'), buildEntry('t2')])
    harness.apply({ type: 'job-accepted', definition: buildJob('a', step) })
    const refusing = harness.getStarts()[0]!.target
    refuseStartsOn(harness, [refusing], 'invalid')
    const other = refusing === 't1' ? 't2' : 't1'
    assert.equal(harness.runningOn(other).length, step.count ?? 1)
  })
}

// The first start of a gang's member had no response, and the second was refused: the others waited for it until their timeout.
test('command responses: guards against the failure that a gang waits for a member whose repeated start is refused', () => {
  const harness = CellHarness.create([buildEntry('t1'), buildEntry('t2')])
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 2, gang: true, perTargetLimit: 1 }) })
  const [first, second] = harness.getStarts()
  harness.acceptStart(second!)
  harness.advance(DEFAULT_CELL_OPTIONS.resendAfterMs)
  refuse(harness, first!, 'no-room')
  assert.deepEqual(harness.getCommands('stop').map(({ target }) => target).sort(), ['t1', 't2'])
})

// A target answered a start with a status of a server error and ran it nevertheless: the task started on another one at once.
test('command responses: guards against the failure that a task runs twice after a start that failed at its target and may have been executed', () => {
  const harness = CellHarness.create([buildEntry('t1'), buildEntry('t2')])
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  refuse(harness, start!, 'failed')
  harness.advance(OBSERVED_TICKS * TICK_MS)
  assert.equal(harness.getStarts().length, 1)
  assert.equal(harness.getCommands('stop')[0]?.target, start!.target)
  harness.completeRun(start!, 'stopped')
  assert.equal(harness.getStarts().length, 2)
})

const ADVISED: Queue = { ...QUEUE, priority: 1, advice: { decisionMs: 450, perTargetMs: 6.5, validityMs: 2_000 } }
/** A task that lasts has to run this long after its targets accept starts again, in milliseconds. */
const MAX_RESTART_MS = 6_000

/** Time from when the targets accept starts again until the task that lasts starts, in milliseconds; they refuse until then. */
function measureStartAfterRefusals (queue: Queue, targets: readonly string[], refuseForMs: number): number {
  const harness = CellHarness.create(targets.map((id) => buildEntry(id)), { ...CONFIGURATION, queues: [queue] })
  const advisor = SimulatedAdvisor.create(1)
  const beganAt = harness.now
  let handled = 0
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { longRunning: true }) })
  for (;;) {
    const effects = harness.effects.slice(handled)
    handled = harness.effects.length
    for (const effect of effects) {
      if (effect.type === 'request-advice') advisor.add([effect])
      if (effect.type !== 'start') continue
      if (harness.now - beganAt >= refuseForMs) return harness.now - beganAt - refuseForMs
      refuse(harness, effect, 'invalid')
    }
    for (const { step, targets: asked } of advisor.advance(harness.now)) harness.apply({ type: 'advised', step, requestedTargets: asked, response: { type: 'advised', tickets: asked.map((target) => ({ target, ticket: 'ticket' })), validityMs: undefined } })
    harness.advance(TICK_MS)
  }
}

const pauses: ReadonlyArray<{ readonly contains: string, readonly queue: Queue, readonly targets: readonly string[] }> = [
  { contains: 'one target', queue: QUEUE, targets: ['t1'] },
  { contains: 'two targets', queue: QUEUE, targets: ['t1', 't2'] },
  { contains: 'one target that the advisor has to allow', queue: ADVISED, targets: ['t1'] },
  { contains: 'two targets that the advisor has to allow', queue: ADVISED, targets: ['t1', 't2'] }
]

for (const { contains, queue, targets } of pauses) {
  // LOST: the pauses of a task, of its target and of its tickets must not add up to more than a task that lasts may wait.
  test(`command responses: guards against the failure that a task that lasts waits for too long after refusals, with ${contains}`, () => {
    for (let refuseForMs = 2_000; refuseForMs < 20_000; refuseForMs += 350) {
      const startMs = measureStartAfterRefusals(queue, targets, refuseForMs)
      assert.ok(startMs <= MAX_RESTART_MS, `${startMs} ms after ${refuseForMs} ms of refusals`)
    }
  })
}
