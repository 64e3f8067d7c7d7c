import { canStart, chooseTarget } from './placement.ts'
import type { CellState } from '../cell-state.ts'
import { addRun } from '../runs.ts'
import type { Demand } from '../job.ts'
import type { LiveRun } from '../live-run.ts'
import type { TargetState } from '../target-state.ts'
import { countFreeSlots } from './target-acceptance.ts'
import type { StepRun, Task } from '../task.ts'

/**
 * Books capacity for all members of a gang, or for none. With `sameRack`, each rack is tried before all targets together.
 * If one member does not fit, `undo` removes the runs that were added for the others.
 */
export function placeGang (state: CellState, step: StepRun, run: number, candidates: readonly TargetState[], undo: (live: LiveRun) => void): readonly LiveRun[] | undefined {
  for (const group of findCandidateGroups(step, candidates)) {
    if (!haveRoom(step, group)) continue
    const placed = placeOnCandidates(state, step, run, group, undo)
    if (placed !== undefined) return placed
  }
  return undefined
}

function findCandidateGroups (step: StepRun, candidates: readonly TargetState[]): ReadonlyArray<readonly TargetState[]> {
  if (!step.spec.sameRack) return [candidates]
  const racks = new Map<string, TargetState[]>()
  for (const target of candidates) racks.set(target.entry.rack, [...racks.get(target.entry.rack) ?? [], target])
  return [...racks.values(), candidates]
}

/** Whether the targets have room for all members together, as far as their free capacity tells. */
function haveRoom (step: StepRun, targets: readonly TargetState[]): boolean {
  let slots = 0
  for (const target of targets) slots += Math.max(0, countFreeSlots(target, step))
  return slots >= step.spec.count
}

function placeOnCandidates (state: CellState, step: StepRun, run: number, candidates: readonly TargetState[], undo: (live: LiveRun) => void): readonly LiveRun[] | undefined {
  const placed: LiveRun[] = []
  const unstarted: Task[] = []
  for (const task of step.tasks.unfinished()) {
    const target = chooseTarget(state, candidates, task)
    if (target === undefined || !canStart(state, target, task)) {
      placed.forEach(undo)
      for (const placedTask of unstarted) step.tasks.forget(placedTask)
      return undefined
    }
    if (!step.tasks.has(task.index)) unstarted.push(task)
    const ticket = step.advice.findTicket(target.id, target.entry.incarnation, state.now)
    placed.push(addRun(state, { task, run, target, phase: 'starting', ticket }))
  }
  return placed
}

/** Demand of all tasks of a step. */
export function computeTotalDemand ({ spec: { demand, count } }: StepRun): Demand {
  return { cpuMillis: demand.cpuMillis * count, memoryMiB: demand.memoryMiB * count, accelerators: demand.accelerators * count }
}
