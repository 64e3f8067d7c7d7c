import { log } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { TargetEntry } from './target-entry.ts'
import { TargetState } from './target-state.ts'

/** Takes in a published entry; another incarnation under the same id has forgotten the runs of the one before. */
export function publishTarget (state: CellState, entry: TargetEntry): void {
  const known = state.targets.get(entry.id)
  state.stale = true
  if (known !== undefined && known.entry.incarnation === entry.incarnation) {
    if (known.entry.draining !== entry.draining) log(state, 'info', 'target-state', { target: entry.id, draining: entry.draining })
    known.entry = entry
    known.published = true
    return
  }
  if (known !== undefined && known.entry.incarnation > entry.incarnation) return
  const target = TargetState.create(entry, state.now)
  if (known !== undefined) replaceLife(known, target)
  state.targets.set(entry.id, target)
  state.effects.push({ type: 'watch-target', id: entry.id })
  if (!state.storedTargets.has(entry.id)) state.effects.push({ type: 'store-targets', ids: [...state.targets.keys()] })
  log(state, 'info', 'target-seen', { target: entry.id, address: entry.address, failureDomain: entry.failureDomain, incarnation: entry.incarnation })
}

/**
 * Hands the runs of an ended life to the next one. A start that was sent lately may have reached the new life before its
 * entry was seen, so only the next listing tells which runs are gone.
 */
function replaceLife (ended: TargetState, next: TargetState): void {
  for (const live of [...ended.runs.values()]) {
    ended.remove(live)
    live.target = next
    next.add(live)
  }
}

/** An entry that is gone may belong to a target that left, crashed, or is only cut off. */
export function withdrawTarget (state: CellState, id: string): void {
  const target = state.targets.get(id)
  if (target === undefined) return
  target.published = false
  log(state, 'info', 'target-withdrawn', { target: id, draining: target.entry.draining, runs: target.runs.size })
}

/** Forgets targets that are gone and hold nothing any more. */
export function forgetTargets (state: CellState): void {
  for (const target of [...state.targets.values()]) {
    if (!isGone(target) || !isEmpty(state, target)) continue
    state.targets.delete(target.id)
    state.storedTargets.delete(target.id)
    state.effects.push({ type: 'forget-target', id: target.id }, { type: 'store-targets', ids: [...state.targets.keys()] })
  }
}

/** The entry of a sound target may be missing for a while after an outage of the store. */
function isGone (target: TargetState): boolean {
  return !target.published && (!target.reachable || target.entry.draining)
}

/**
 * Whether no run can be present. A target that was listed holds no more than is booked there; the next leader waits for
 * each target that is still named in the store.
 */
function isEmpty (state: CellState, target: TargetState): boolean {
  if (target.runs.size > 0 || target.unknownRuns > 0) return false
  return target.listed || !state.earlierRunsPossible
}
