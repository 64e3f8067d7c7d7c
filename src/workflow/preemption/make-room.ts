import { count, findQueue, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { MAX_LATENESS_FACTOR, computeObjectiveMs, computeRank, isDeferred } from '../order/step-rank.ts'
import { sendStop } from '../runs.ts'
import type { StepRun } from '../task.ts'
import type { Victim } from './choose-victims.ts'
import { makeRoomInMaxima } from './maximum-room.ts'
import type { WaitCause, WaitingStep } from './preemption.ts'
import { makeRoomOnTargets } from './target-room.ts'
import { RESTORE_MS } from './victims.ts'

/** A step that waits for room longer than this does not wait for a response of the advisor, in milliseconds. */
const MAX_REQUEST_MS = 300
/** Longest gain that is logged, in milliseconds: tasks that last have no end. */
const MAX_LOGGED_GAIN_MS = 60_000

/** Runs to stop, the steps that they make room for, and how much sooner there is room, in milliseconds. */
export type StopPlan = { readonly victims: readonly Victim[], readonly steps: readonly StepRun[], readonly cause: WaitCause, readonly gainMs: number }

/**
 * Stops runs whose work can be saved for the urgent steps that the last start pass left waiting. Nothing is stopped while runs of
 * a previous owner may be unknown.
 */
export function makeRoom (state: CellState): void {
  const { preemption, now } = state
  if (!state.options.features.preemption) return
  preemption.update(now)
  const waiting = preemption.takeWaitingSteps(now)
  if (waiting.length === 0 || state.earlierRunsPossible || preemption.getAllowedStops(now) === 0) return
  const useful = waiting.filter(({ step }) => isUseful(state, step))
  makeRoomInMaxima(state, useful.filter(({ cause }) => cause === 'maximum'), (plan) => carryOut(state, plan))
  makeRoomOnTargets(state, useful.filter(lacksRoom), (plan) => carryOut(state, plan))
}

/** Whether a step is served before all that is not urgent, and its job is still useful when the room is free. */
function isUseful (state: CellState, step: WaitingStep['step']): boolean {
  const { job, stepNumber } = step
  const queue = findQueue(state, job.definition)
  if (queue === undefined || isDeferred(computeRank(state, step))) return false
  if (job.definition.firstAtMs > 0 || step.spec.longRunning) return true
  const endMs = state.now - job.acceptedAt + state.preemption.stopMs + job.chainsMs[stepNumber]!
  return endMs <= MAX_LATENESS_FACTOR * computeObjectiveMs(queue, job)
}

/** Whether a step waits for room. The targets of a request that has no response yet may have some. */
function lacksRoom ({ step, cause, waitedMs }: WaitingStep): boolean {
  return cause === 'no-room' && (!step.advice.requestPending || waitedMs >= MAX_REQUEST_MS)
}

/** Sends the stops of a plan as far as the number of stops is not limited. */
function carryOut (state: CellState, { victims, steps, cause, gainMs }: StopPlan): void {
  const { preemption, now } = state
  for (const { live, slackMs, demand } of victims.slice(0, preemption.getAllowedStops(now))) {
    const { task, run, target } = live
    const lossCoreMs = Math.round(demand.cpuMillis / 1_000 * (preemption.stopMs + RESTORE_MS))
    log(state, 'info', 'run-preempted', { task: task.key, run, target: target.id, step: steps[0]!.key, cause, gainMs: Math.round(Math.min(MAX_LOGGED_GAIN_MS, gainMs)), lossCoreMs, slackMs: Math.round(slackMs) })
    count(state, 'run-preempted', cause)
    preemption.recordStop(live, { steps, cause, now })
    sendStop(state, live, 'preempted')
  }
}
