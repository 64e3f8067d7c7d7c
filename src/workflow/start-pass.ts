import { assertNever } from '../util/assert-never.ts'
import { mayStartBeside, recordParallelStart } from './attempts/last-attempts.ts'
import { settleLastAttempts } from './attempts/settle-last-attempts.ts'
import { requestAdvice } from './advice/advice-requests.ts'
import { findQueue, log, getUsage } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { beginTrials, giveUpIfExhausted } from './crashes/crashes.ts'
import { computeTotalDemand, placeGang } from './room/gang-placement.ts'
import type { Demand } from './job.ts'
import { isDue } from './jobs.ts'
import { makeRoom } from './preemption/make-room.ts'
import { checkMaximum } from './room/organisation-maximum.ts'
import { getOpenTargets } from './room/open-targets.ts'
import { selectOverdueSteps } from './advice/overdue-advice.ts'
import { recordOrderDecision } from './past-use/record-order-decision.ts'
import { compareRanks, computeRank } from './order/step-rank.ts'
import { findAllowedTargets, chooseTarget, needsAdvice } from './room/placement.ts'
import { addRun, removeRun, sendStart } from './runs.ts'
import { hasStartableTask, isStartable } from './order/startable.ts'
import type { StartRoom } from './commands/start-window.ts'
import type { TargetState } from './target-state.ts'
import { usesReserve } from './room/task-acceptance.ts'
import type { StepRun, Task } from './task.ts'
import { computeUncertainUsage } from './room/uncertain-usage.ts'

/** Starts all tasks that can start now, in the order of the ranks of their steps. */
export function runStartPass (state: CellState): void {
  state.startPassNeeded = false
  state.passWork.passes += 1
  state.uncertainUsage = computeUncertainUsage(state)
  settleLastAttempts(state)
  for (const step of findReadySteps(state)) startStep(state, step)
  makeRoom(state)
}

/**
 * Finds the steps that have a startable task and whose predecessors have ended, sorted by rank, behind those that have
 * waited too long for advice.
 */
function findReadySteps (state: CellState): readonly StepRun[] {
  const ready = [...state.openSteps].filter((step) => hasStartableTask(step, state.now) && step.ready && mayStartStep(state, step))
  const overdue = selectOverdueSteps(state, ready)
  const rank = new Map(ready.map((step) => [step, computeRank(state, step)]))
  ready.sort((left, right) => Number(overdue.has(right)) - Number(overdue.has(left)) || compareRanks(rank.get(left)!, rank.get(right)!))
  recordOrderDecision(state, ready, rank)
  return ready
}

/**
 * Whether tasks of the step may start. Tasks of a restored job may still run where a previous owner started them, and a
 * previous owner whose clock is ahead may have opened an occurrence that is not due here.
 */
function mayStartStep (state: CellState, { job, occurrence }: StepRun): boolean {
  return (!job.restored || !state.earlierRunsPossible) && isDue(state, job.definition, occurrence)
}

function startStep (state: CellState, step: StepRun): void {
  if (!step.job.active) return
  state.passWork.steps += 1
  if (findQueue(state, step.job.definition) === undefined) {
    if (state.configuration !== undefined) logBlocked(state, step, 'unknown-queue')
    return
  }
  if (needsAdvice(state, step) && !step.advice.hasResponse) {
    if (isWithinMaximum(state, step, step.spec.demand)) requestFirstAdvice(state, step)
    else if (state.preemption.isMakingRoomFor(step)) requestAdvice(state, step)
    return
  }
  const candidates = findAllowedTargets(state, step)
  const complete = step.spec.gang ? startGang(state, step, candidates) : startTasks(state, step, candidates)
  if (complete) step.advice.waitsForChannelSince = undefined
  else if (needsAdvice(state, step)) requestAdvice(state, step)
}

function requestFirstAdvice (state: CellState, step: StepRun): void {
  requestAdvice(state, step)
  if (step.advice.waitsForChannelSince !== undefined) logBlocked(state, step, 'no-advice-channel')
}

/** Starts tasks of a step; returns false if more tickets could help. */
function startTasks (state: CellState, step: StepRun, candidates: readonly TargetState[]): boolean {
  for (const task of step.tasks.unfinished()) {
    if (!mayStart(state, task)) continue
    // The number of crashes after which a task is given up may have fallen since its last one.
    if (giveUpIfExhausted(state, task)) return true
    if (!isWithinMaximum(state, step, step.spec.demand)) return true
    if (!isWithinWindow(step, state.startWindow.getRoom(state.now))) return true
    const withinWindow = findWithinWindow(state, step, candidates)
    const target = chooseTarget(state, withinWindow, task)
    if (target === undefined) {
      if (withinWindow.length < candidates.length) return true
      logBlocked(state, step, 'no-room')
      return false
    }
    if (!takeReserve(state, step, target)) return true
    startTask(state, task, target)
    startBeside(state, task, candidates)
  }
  return true
}

/** Starts further runs of a last attempt at once, as far as the maximum and the targets have room for them. */
function startBeside (state: CellState, task: Task, candidates: readonly TargetState[]): void {
  const { step } = task
  if (!mayStartBeside(state, task)) return
  while (mayStartBeside(state, task) && checkMaximum(state, step, step.spec.demand) === 'within' && isWithinWindow(step, state.startWindow.getRoom(state.now))) {
    const target = chooseTarget(state, findWithinWindow(state, step, candidates), task)
    if (target === undefined || !takeReserve(state, step, target)) break
    startTask(state, task, target)
  }
  recordParallelStart(state, task)
}

/** Whether a task of the step may start on the target now: in a full pool, tasks use the reserve for urgent ones one after another. */
function takeReserve (state: CellState, step: StepRun, target: TargetState): boolean {
  const { pool } = target.entry
  if (!usesReserve(state, target, step) || getOpenTargets(state, pool).isMostlyFree) return true
  if (!state.lastingPrecedence.isPressing(step) && state.lastingPrecedence.wasReserveJustUsed(pool, state.now)) return false
  state.lastingPrecedence.recordReserveUse(pool, state.now)
  return true
}

/** Finds the targets that can take one more start of the step, as far as the starts under way are concerned. */
function findWithinWindow ({ startWindow }: CellState, step: StepRun, targets: readonly TargetState[]): readonly TargetState[] {
  return startWindow.isOpenForAllTargets ? targets : targets.filter(({ id }) => isWithinWindow(step, startWindow.getRoomOf(id)))
}

/** Whether a start of the step may use the room that is left for starts under way. */
function isWithinWindow (step: StepRun, room: StartRoom): boolean {
  switch (room) {
    case 'free': return true
    case 'reserved': return step.isIdle
    case 'none': return false
    default: return assertNever(room)
  }
}

/** Whether a run of the task may start now; not while a run may be on a closed target of a previous owner. */
function mayStart (state: CellState, task: Task): boolean {
  return isStartable(task, state.now) && !state.heldBackTasks.has(task) && !state.lastAttempts.has(task)
}

/** Whether the organisation may start tasks of the step with this total demand; logs why not. */
function isWithinMaximum (state: CellState, step: StepRun, demand: Demand): boolean {
  const check = checkMaximum(state, step, demand)
  switch (check) {
    case 'within': return true
    case 'reserved':
      logBlocked(state, step, 'reserve')
      return false
    case 'exceeded':
      logBlocked(state, step, 'maximum')
      return false
    default: return assertNever(check)
  }
}

/** Records why a step waits, and logs it whenever the reason changes. */
function logBlocked (state: CellState, step: StepRun, reason: 'unknown-queue' | 'maximum' | 'reserve' | 'no-room' | 'no-advice-channel'): void {
  if (reason === 'maximum' || reason === 'no-room') state.preemption.recordWait(state, step, reason)
  if (step.blockedBy === reason) return
  step.blockedBy = reason
  const { definition } = step.job
  const allowed = [...state.targets.values()].filter((target) => step.advice.isAllowed(target.id)).length
  log(state, 'info', 'step-waiting', { step: step.key, reason, organisation: definition.organisation, usedCpuMillis: getUsage(state, definition.organisation).cpuMillis, allowedTargets: allowed, targets: state.targets.size })
}

function startTask (state: CellState, task: Task, target: TargetState): void {
  const { step } = task
  state.lastRunNumber += 1
  const ticket = step.advice.findTicket(target.id, target.entry.incarnation, state.now)
  const live = addRun(state, { task, run: state.lastRunNumber, target, phase: 'starting', ticket })
  markJobStarted(state, step)
  sendStart(state, live)
  forgetRoom(state, step)
  beginTrials(state, [live])
}

/** Lets the next task see that there is less room in the pool of the step. */
function forgetRoom (state: CellState, step: StepRun): void {
  getOpenTargets(state, findQueue(state, step.job.definition)?.pool).forgetRoom()
}

/** Starts a gang; returns false if more tickets could help. */
function startGang (state: CellState, step: StepRun, candidates: readonly TargetState[]): boolean {
  if (step.unfinishedTasks < step.spec.count) return true
  const known = [...step.tasks.known()]
  if (!known.every((task) => mayStart(state, task)) || known.some((task) => giveUpIfExhausted(state, task))) return true
  if (!isWithinMaximum(state, step, computeTotalDemand(step))) return true
  if (!isWithinWindow(step, state.startWindow.getRoom(state.now))) return true
  const run = state.lastRunNumber + 1
  alignCheckpoints(step)
  const placed = placeGang(state, step, run, candidates, (live) => removeRun(state, live))
  if (placed === undefined) {
    logBlocked(state, step, 'no-room')
    return false
  }
  state.lastRunNumber = run
  markJobStarted(state, step)
  for (const live of placed) sendStart(state, live)
  forgetRoom(state, step)
  beginTrials(state, placed)
  return true
}

/** Sets the same checkpoint for all members of a gang, because they must start from the same one. */
function alignCheckpoints (step: StepRun): void {
  const checkpoint = [...step.tasks.known()].map((task) => task.checkpoint).sort().at(-1) ?? ''
  if (checkpoint === '') return
  for (const task of step.tasks.unfinished()) {
    step.tasks.keep(task)
    task.checkpoint = checkpoint
  }
}

function markJobStarted (state: CellState, step: StepRun): void {
  if (step.job.phase !== 'queued') return
  step.job.phase = 'running'
  step.job.visiblePhase = 'running'
  log(state, 'info', 'job-started', { job: step.job.definition.id, waitedMs: Math.round(state.now - step.job.acceptedAt) })
}
