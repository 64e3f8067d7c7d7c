import type { FailureDomainName, TargetId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import type { Cell } from './scheduler-state.ts'
import { noteLeaving } from './evacuation.ts'

/** Adds or changes a target, and lets work that waits for room try it. */
export function upsertTarget (cell: Cell, target: Target): void {
  const state = cell.fleet.upsert(target)
  noteLeaving(cell, state)
  cell.wakeForTarget(state)
}

/** Takes out a target that is lost; its tasks stay booked until their ends are reported. */
export function removeTarget (cell: Cell, targetId: TargetId): void {
  const state = cell.fleet.remove(targetId)
  if (state !== undefined) noteLeaving(cell, state)
}

/** Takes a failure domain out or back in. */
export function changeDomain (cell: Cell, name: FailureDomainName, out: boolean): void {
  const domain = cell.fleet.setDomainOut(name, out)
  for (const target of domain.targets) noteLeaving(cell, target)
  if (!out) cell.wakeAll()
}
