import { count, log } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { hasJustStarted } from './crash-suspicion.ts'
import { endJob } from './jobs.ts'
import type { LiveRun } from './live-run.ts'
import type { TargetEntry } from './target-entry.ts'
import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'

/**
 * Records that a target may have crashed under its runs. It has fallen silent, which does not show that: a target that cannot
 * be reached may come back with its runs. The tasks that had just started there are suspected if it has crashed. Runs that are
 * booked there only because an earlier incarnation had them do not count again.
 */
export function recordPossibleCrash (state: CellState, target: TargetState): void {
  if (target.entry.draining) return
  const incarnation = formatIncarnation(target.entry)
  for (const live of target.runs.values()) {
    if (!live.carriedOver && isRelevant(live.task) && !live.task.crashes.isConfirmed(incarnation)) addPossibleCrash(state, live, incarnation)
  }
}

function isRelevant ({ phase, step }: Task): boolean {
  return step.job.active && phase !== 'done'
}

function addPossibleCrash (state: CellState, live: LiveRun, incarnation: string): void {
  const { task } = live
  const suspected = hasJustStarted(live)
  if (task.step.spec.longRunning && !suspected) return clearCrashes(state, task)
  task.crashes.addPossible(incarnation, suspected)
  indexPossibleCrash(state, task, incarnation)
  storeProgress(state, task)
}

/** Clears the crashes under a long-running task that has worked for a while: its start does not crash its target. */
function clearCrashes (state: CellState, task: Task): void {
  if (task.crashes.isEmpty) return
  task.crashes.clear()
  storeProgress(state, task)
}

function indexPossibleCrash (state: CellState, task: Task, incarnation: string): void {
  const tasks = state.possibleCrashes.get(incarnation) ?? new Set()
  state.possibleCrashes.set(incarnation, tasks.add(task))
}

/** Indexes the targets that may have crashed under the tasks of a restored job. */
export function indexRestoredCrashes (state: CellState, job: string): void {
  for (const task of state.jobs.get(job)?.tasks() ?? []) {
    for (const incarnation of task.crashes.possibleCrashes) indexPossibleCrash(state, task, incarnation)
  }
}

/** Records that a target responds, so that it has not crashed. */
export function withdrawCrash (state: CellState, target: TargetState): void {
  const incarnation = formatIncarnation(target.entry)
  for (const task of takePossibleCrash(state, incarnation)) {
    task.crashes.withdraw(incarnation)
    storeProgress(state, task)
  }
}

/** Records that the process of a target has certainly ended although it was not draining: another one is in its place. */
export function confirmCrash (state: CellState, target: TargetState): void {
  recordPossibleCrash(state, target)
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
  if (tasks.length > 0) log(state, 'warn', 'target-crashed', { incarnation, tasks: tasks.length, suspects: tasks.filter(({ crashes }) => crashes.isSuspect).map(({ key }) => key).join(',') })
  for (const task of tasks) giveUpIfExhausted(state, task)
}

function giveUpIfExhausted (state: CellState, { key, crashes, step }: Task): void {
  if (!crashes.isExhausted || !step.job.active) return
  count(state, 'task-given-up', 'crashes')
  endJob(state, step.job, 'failed', `${crashes.count} targets have crashed under task ${key}`)
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
