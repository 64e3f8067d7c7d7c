import { askForTickets, mayAsk } from './advice-requests.ts'
import { log, usedBy } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { placeGang } from './gang-placement.ts'
import type { Demand } from './job.ts'
import { isDue } from './jobs.ts'
import { compareRanks, rankOf } from './step-rank.ts'
import { allowedTargets, chooseTarget, hasRoomNow, needsAdvice, suitableTargets, withinMaximum } from './placement.ts'
import { addRun, removeRun, sendStart } from './runs.ts'
import { isStartable } from './startable.ts'
import type { TargetState } from './target-state.ts'
import type { StepRun, Task } from './task.ts'
import { uncertainUsage } from './uncertain-usage.ts'

/** Starts whatever may start now, in the order of ranks. */
export function startPass (state: CellState): void {
  state.stale = false
  state.uncertain = uncertainUsage(state)
  for (const step of inOrder(state)) startStep(state, step)
}

/** Steps that have a task to start and whose predecessors have ended. */
function inOrder (state: CellState): readonly StepRun[] {
  const ready = [...state.open].filter((step) => step.ready && mayStart(state, step) && step.tasks.some((task) => isStartable(task, state.now)))
  const rank = new Map(ready.map((step) => [step, rankOf(state, step)]))
  return ready.sort((left, right) => compareRanks(rank.get(left)!, rank.get(right)!))
}

/** Tasks of restored jobs may still run where an earlier owner has put them; its clock may be ahead of ours. */
function mayStart (state: CellState, { job, occurrence }: StepRun): boolean {
  return (!job.restored || !state.earlierRunsPossible) && isDue(state, job.definition, occurrence)
}

function startStep (state: CellState, step: StepRun): void {
  const candidates = allowedTargets(state, step)
  if (needsAdvice(state, step) && !step.advice.answered) {
    if (!withinMaximum(state, step.job, step.spec.demand)) noteBlocked(state, step, 'maximum')
    else if (mayAsk(state, step)) askFirst(state, step)
    return
  }
  const complete = step.spec.gang ? startGang(state, step, candidates) : startTasks(state, step, candidates)
  if (!complete && needsAdvice(state, step) && mayAsk(state, step)) askForTickets(state, step, suitableTargets(state, step))
}

function askFirst (state: CellState, step: StepRun): void {
  const candidates = suitableTargets(state, step)
  if (candidates.some((target) => hasRoomNow(state, target, step))) askForTickets(state, step, candidates)
}

/** Whether all startable tasks were started. */
function startTasks (state: CellState, step: StepRun, candidates: readonly TargetState[]): boolean {
  for (const task of step.tasks) {
    if (!isStartable(task, state.now)) continue
    if (!withinMaximum(state, step.job, step.spec.demand)) return noteBlocked(state, step, 'maximum')
    const target = chooseTarget(state, candidates, task)
    if (target === undefined) {
      noteBlocked(state, step, 'no-room')
      return false
    }
    startTask(state, task, target)
  }
  return true
}

/** Logs why a step waits whenever the reason changes. Returns true: tickets would not help. */
function noteBlocked (state: CellState, step: StepRun, reason: 'maximum' | 'no-room'): true {
  if (step.blockedBy === reason) return true
  step.blockedBy = reason
  const { definition } = step.job
  const allowed = [...state.targets.values()].filter((target) => step.advice.allows(target.id)).length
  log(state, 'info', 'step-waiting', { step: step.key, reason, organisation: definition.organisation, usedCpuMillis: usedBy(state, definition.organisation).cpuMillis, allowedTargets: allowed, targets: state.targets.size })
  return true
}

function startTask (state: CellState, task: Task, target: TargetState): void {
  const { step } = task
  state.lastRun += 1
  const ticket = step.advice.ticket(target.id, target.entry.incarnation, state.now)
  const live = addRun(state, { task, run: state.lastRun, target, phase: 'starting', ticket })
  noteStarted(state, step)
  sendStart(state, live)
}

/** Whether the gang was started or cannot start for a reason that tickets do not change. */
function startGang (state: CellState, step: StepRun, candidates: readonly TargetState[]): boolean {
  if (!step.tasks.every((task) => isStartable(task, state.now))) return true
  if (!withinMaximum(state, step.job, total(step))) return noteBlocked(state, step, 'maximum')
  const run = state.lastRun + 1
  alignCheckpoints(step)
  const placed = placeGang(state, step, run, candidates, (live) => removeRun(state, live))
  if (placed === undefined) {
    noteBlocked(state, step, 'no-room')
    return false
  }
  state.lastRun = run
  noteStarted(state, step)
  for (const live of placed) sendStart(state, live)
  return true
}

function total (step: StepRun): Demand {
  const { demand, count } = step.spec
  return { cpuMillis: demand.cpuMillis * count, memoryMiB: demand.memoryMiB * count, accelerators: demand.accelerators * count }
}

/** All members of a gang start from the same checkpoint. */
function alignCheckpoints (step: StepRun): void {
  const checkpoint = step.tasks.map((task) => task.checkpoint).sort().at(-1) ?? ''
  for (const task of step.tasks) task.checkpoint = checkpoint
}

function noteStarted (state: CellState, step: StepRun): void {
  if (step.job.phase !== 'queued') return
  step.job.phase = 'running'
  step.job.shownPhase = 'running'
  log(state, 'info', 'job-started', { job: step.job.definition.id, waitedMs: Math.round(state.now - step.job.acceptedAt) })
}
