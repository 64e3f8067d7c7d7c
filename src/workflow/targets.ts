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
    if (!state.storedTargets.has(entry.id) && mayHoldRuns(state, known)) storeTargets(state)
    return
  }
  if (known !== undefined && known.entry.incarnation > entry.incarnation) return
  const target = TargetState.create(entry, state.now)
  if (known !== undefined) replaceLife(known, target)
  state.targets.set(entry.id, target)
  state.effects.push({ type: 'watch-target', id: entry.id })
  if (!state.storedTargets.has(entry.id)) storeTargets(state)
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
    state.effects.push({ type: 'forget-target', id: target.id })
    storeTargets(state)
  }
}

/**
 * Takes targets that drain and are empty off the stored list. They get no work any more, and a new leader would wait for
 * the lapse of each stored target that it cannot list.
 */
export function releaseDrained (state: CellState): void {
  const drained = [...state.targets.values()].filter((target) => state.storedTargets.has(target.id) && !mayHoldRuns(state, target))
  if (drained.length === 0) return
  for (const { id } of drained) state.storedTargets.delete(id)
  storeTargets(state)
}

/** The store holds a list of targets; those that have emptied meanwhile are not counted on. */
export function noteStoredTargets (state: CellState, ids: readonly string[]): void {
  for (const id of ids) {
    const target = state.targets.get(id)
    if (target === undefined || mayHoldRuns(state, target)) state.storedTargets.add(id)
  }
  state.stale = true
}

/** Runs of earlier owners are known or have lapsed, so that only known targets need to be stored. */
export function settleEarlierRuns (state: CellState): void {
  state.earlierRunsPossible = false
  state.stale = true
  const gone = [...state.storedTargets].filter((id) => !state.targets.has(id))
  for (const id of gone) state.storedTargets.delete(id)
  if (gone.length > 0) storeTargets(state)
  log(state, 'info', 'earlier-runs-settled', { targets: state.targets.size, gone: gone.length })
}

/** Stores which targets may hold runs; until those of earlier owners are settled, their targets stay on the list. */
function storeTargets (state: CellState): void {
  const ids = new Set([...state.targets.values()].filter((target) => mayHoldRuns(state, target)).map(({ id }) => id))
  if (state.earlierRunsPossible) {
    for (const id of state.storedTargets) ids.add(id)
  }
  state.effects.push({ type: 'store-targets', ids: [...ids] })
}

function mayHoldRuns (state: CellState, target: TargetState): boolean {
  return !target.entry.draining || !target.listed || !isEmpty(state, target)
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
