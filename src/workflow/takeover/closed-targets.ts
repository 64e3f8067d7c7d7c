import { changeUsage, recordRoom } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { TaskKey } from '../job.ts'
import { findListedTask } from '../jobs.ts'
import type { TargetState } from '../target-state.ts'
import type { Task } from '../task.ts'

/** Targets that get no more starts, and the tasks that may still run on each of them. */
export type ClosedTargets = Readonly<Record<string, readonly TaskKey[]>>

/**
 * Closes the draining targets: the tasks that may run there are stored, so that a new leader that cannot list such a target
 * any more holds back these tasks only. A closed target gets starts again only once it is stored as open. Returns whether
 * the stored list has changed.
 */
export function closeDrainingTargets (state: CellState): boolean {
  let changed = false
  for (const target of state.targets.values()) {
    if (!canClose(target) || !state.storedTargets.delete(target.id)) continue
    state.closedTargets.set(target.id, new Set([...target.runs.values()].map(({ task }) => task.key)))
    changed = true
  }
  return changed
}

/** Whether all runs on the target are known and no more will be started there. */
function canClose (target: TargetState): boolean {
  return target.entry.draining && target.listed && target.reachable && target.unknownRunCount === 0 && target.runs.size > 0
}

/** Records the closed targets of previous owners. */
export function restoreClosedTargets (state: CellState, closed: ClosedTargets): void {
  for (const [target, tasks] of Object.entries(closed)) state.closedTargets.set(target, new Set(tasks))
}

/** Formats the closed targets for the stored record. */
export function toClosedTargets (state: CellState): ClosedTargets {
  return Object.fromEntries([...state.closedTargets].map(([target, tasks]) => [target, [...tasks]]))
}

/** Holds back the tasks that may run on closed targets of previous owners that are not listed. */
export function holdBackTasks (state: CellState): void {
  for (const [id, tasks] of state.closedTargets) {
    if (state.targets.get(id)?.listed === true) continue
    for (const key of tasks) holdBackTask(state, key, id)
  }
}

function holdBackTask (state: CellState, key: TaskKey, target: string): void {
  const task = findListedTask(state, key)
  if (task === undefined || task.phase === 'done' || task.runs.size > 0) return
  const targets = state.heldBackTasks.get(task)
  if (targets !== undefined) {
    targets.add(target)
    return
  }
  state.heldBackTasks.set(task, new Set([target]))
  // The task may be running, so it counts towards the maximum of its organisation.
  changeUsage(state, task.step.job.definition.organisation, task.step.spec.demand, 1)
}

/** Releases the tasks that were held back only because of a target which is listed now, or all tasks. */
export function releaseTasks (state: CellState, listed?: TargetState): void {
  for (const [task, targets] of state.heldBackTasks) {
    if (listed !== undefined) targets.delete(listed.id)
    if (listed === undefined || targets.size === 0) releaseTask(state, task)
  }
  if (listed !== undefined) recordRoom(state, listed)
  state.startPassNeeded = true
}

function releaseTask (state: CellState, task: Task): void {
  state.heldBackTasks.delete(task)
  changeUsage(state, task.step.job.definition.organisation, task.step.spec.demand, -1)
}
