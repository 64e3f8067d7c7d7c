import { count, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { findSuspects } from './crash-suspicion.ts'
import { endJob } from '../jobs.ts'
import type { LiveRun } from '../live-run.ts'
import type { TargetEntry } from '../target-entry.ts'
import type { TargetState } from '../target-state.ts'
import type { Task } from '../task.ts'
import { SETTLED_MS, TRIAL_MS } from './trial.ts'

/**
 * Records that a target may have crashed under the tasks that have just started there. It has fallen silent, which does not
 * show a crash: a target that cannot be reached may come back with its runs.
 */
export function recordPossibleCrash (state: CellState, target: TargetState): void {
  const { draining } = target.entry
  const suspects = new Set((draining ? [] : findSuspects(state, target)).map(({ task }) => task))
  if (!draining && ![...suspects].some(({ crashes }) => crashes.isSuspect)) state.crashRate.record(state.now)
  const incarnation = formatIncarnation(target.entry)
  for (const task of takePossibleCrash(state, incarnation)) {
    if (!suspects.has(task)) withdrawFrom(state, task, incarnation)
  }
  for (const task of suspects) {
    if (isRelevant(task)) addPossibleCrash(state, task, incarnation)
  }
}

function withdrawFrom (state: CellState, task: Task, incarnation: string): void {
  task.crashes.withdraw(incarnation)
  storeProgress(state, task)
}

/**
 * Begins the trials of the started tasks that may crash their targets: nothing else starts there for a while. The crash is
 * stored as possible before it can happen, so that it counts even if this owner is replaced at the same time.
 */
export function beginTrials (state: CellState, started: readonly LiveRun[]): void {
  for (const { task, target } of started) {
    if (!task.crashes.isSuspect) continue
    target.pausedUntil = Math.max(target.pausedUntil, state.now + TRIAL_MS)
    addPossibleCrash(state, task, formatIncarnation(target.entry))
  }
}

/** Handles that a run is listed: a task whose target was asked some time after it had accepted the run does not crash it. */
export function settleRun (state: CellState, live: LiveRun, sentAt: number): void {
  if (live.settled || live.respondedAt === undefined || sentAt - live.respondedAt < SETTLED_MS) return
  live.settled = true
  if (live.task.crashes.isEmpty) return
  live.task.crashes.clear()
  storeProgress(state, live.task)
}

function isRelevant ({ phase, step }: Task): boolean {
  return step.job.active && phase !== 'done'
}

function addPossibleCrash (state: CellState, task: Task, incarnation: string): void {
  task.crashes.addPossible(incarnation)
  indexPossibleCrash(state, task, incarnation)
  storeProgress(state, task)
}

function indexPossibleCrash (state: CellState, task: Task, incarnation: string): void {
  const tasks = state.possibleCrashes.get(incarnation) ?? new Set()
  state.possibleCrashes.set(incarnation, tasks.add(task))
}

/** Indexes the targets that may have crashed under the tasks of a restored job. */
export function indexRestoredCrashes (state: CellState, job: string): void {
  for (const task of state.jobs.get(job)?.knownTasks() ?? []) {
    for (const incarnation of task.crashes.possibleCrashes) indexPossibleCrash(state, task, incarnation)
  }
}

/** Records that a target responds, so that it has not crashed. The trials of tasks that have just started there go on. */
export function withdrawCrash (state: CellState, target: TargetState): void {
  const incarnation = formatIncarnation(target.entry)
  for (const task of takePossibleCrash(state, incarnation)) {
    if (isOnTrial(task, target)) indexPossibleCrash(state, task, incarnation)
    else withdrawFrom(state, task, incarnation)
  }
}

function isOnTrial (task: Task, target: TargetState): boolean {
  return [...task.runs].some((live) => live.target === target && !live.settled && !live.adopted)
}

/** Records that the process of a target has certainly ended although it was not draining: another one is in its place. */
export function confirmCrash (state: CellState, target: TargetState): void {
  if (target.reachable) recordPossibleCrash(state, target)
  confirmPossibleCrash(state, formatIncarnation(target.entry))
}

/** Records that the earlier targets at the address of a new one have ended, because only one process can listen there. */
export function confirmReplacedCrashes (state: CellState, { address, incarnation }: TargetEntry): void {
  const prefix = formatIncarnation({ address, incarnation: '' })
  for (const key of [...state.possibleCrashes.keys()]) {
    if (key.startsWith(prefix) && Number(key.slice(prefix.length)) < incarnation) confirmPossibleCrash(state, key)
  }
}

function confirmPossibleCrash (state: CellState, incarnation: string): void {
  const tasks = [...takePossibleCrash(state, incarnation)].filter(isRelevant)
  for (const task of tasks) {
    task.crashes.confirm(incarnation)
    storeProgress(state, task)
  }
  if (tasks.length > 0) log(state, 'warn', 'target-crashed', { incarnation, suspects: tasks.map(({ key }) => key).join(',') })
  for (const task of tasks) giveUpIfExhausted(state, task)
}

/** Number of crashes after which a task is given up even if fewer targets have crashed, because it has found no others. */
const MAX_CRASHES_OF_FEW_TARGETS = 5

/** Fails the job of a task that has crashed so many targets that it must not start again; returns whether it has. */
export function giveUpIfExhausted (state: CellState, { key, crashes, step }: Task): boolean {
  if (crashes.count === 0 || !step.job.active) return false
  const limit = state.crashRate.computeCrashLimit(state.now, state.targets.size)
  if (crashes.targetCount < limit && crashes.count < MAX_CRASHES_OF_FEW_TARGETS) return false
  count(state, 'task-given-up', 'crashes')
  endJob(state, step.job, 'failed', `${crashes.targetCount} targets have crashed under task ${key}, ${crashes.count} times`)
  return true
}

function takePossibleCrash (state: CellState, incarnation: string): ReadonlySet<Task> {
  const tasks = state.possibleCrashes.get(incarnation)
  state.possibleCrashes.delete(incarnation)
  return tasks ?? new Set()
}

function storeProgress (state: CellState, { step }: Task): void {
  state.effects.push({ type: 'store-progress', job: step.job.definition.id })
}

/** Removes the possible crashes under tasks whose jobs have ended. */
export function prunePossibleCrashes (state: CellState): void {
  for (const [incarnation, tasks] of state.possibleCrashes) {
    if (![...tasks].some(isRelevant)) state.possibleCrashes.delete(incarnation)
  }
}

/** Formats the key of one incarnation of a target. It holds for a target that comes back under another id, too. */
function formatIncarnation ({ address, incarnation }: { readonly address: string, readonly incarnation: number | '' }): string {
  return `${address}#${incarnation}`
}
