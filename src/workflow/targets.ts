import { log, recordRoom } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { takeDeparted } from './takeover/departed-targets.ts'
import { closeDrainingTargets, holdBackTasks, releaseTasks, toClosedTargets } from './takeover/closed-targets.ts'
import { computeForeignLeasesMs, forgetEarlierIncarnations, recordNewTarget, toIncarnations } from './takeover/earlier-leases.ts'
import { haveLeasesExpired } from './takeover/expired-leases.ts'
import { hasOpenTargetBeside, isEmptiedByRestart, releaseSpareTargets } from './room/spare-targets.ts'
import { confirmCrash, confirmReplacedCrashes } from './crashes/crashes.ts'
import { recordLostByRestart, removeRunsLostByRestarts } from './handle-listing.ts'
import { releaseEndedJobs } from './jobs.ts'
import { sendStop } from './runs.ts'
import type { TargetEntry } from './target-entry.ts'
import { TargetState } from './target-state.ts'
import { formatTargets } from './waits/task-wait-fields.ts'
import { hasUnansweredStarts, transferUnansweredStarts } from './commands/unanswered-starts.ts'

/**
 * Handles a published entry. A new incarnation with the same id replaces the previous one and no longer has its runs, apart
 * from those that its first listing contains.
 */
export function handleTargetPublished (state: CellState, entry: TargetEntry): void {
  if (state.targets.get(entry.id) === undefined && isOfEarlierIncarnation(state, entry)) return publishLaterIncarnation(state, entry)
  addTarget(state, entry)
}

/** Whether an earlier owner has listed a later incarnation, which had not published itself. */
function isOfEarlierIncarnation (state: CellState, { id, incarnation }: TargetEntry): boolean {
  return incarnation < (state.silentTargets.findIncarnation(id) ?? -Infinity)
}

/** Adds the incarnation that an earlier owner has listed; commands to the one before may reach it. */
function publishLaterIncarnation (state: CellState, entry: TargetEntry): void {
  addTarget(state, { ...entry, incarnation: state.silentTargets.findIncarnation(entry.id)! })
  state.targets.get(entry.id)!.awaitsEntry = true
}

function addTarget (state: CellState, entry: TargetEntry): void {
  const known = state.targets.get(entry.id)
  state.startPassNeeded = true
  if (known !== undefined && known.entry.incarnation === entry.incarnation) {
    recordRoom(state, known)
    if (known.entry.draining !== entry.draining) log(state, 'info', 'target-state', { target: entry.id, draining: entry.draining })
    known.entry = entry
    known.published = true
    known.awaitsEntry = false
    if (!entry.draining) state.closedTargets.delete(entry.id)
    if (!state.storedTargets.has(entry.id) && mayHoldRuns(state, known)) storeTargets(state)
    return
  }
  if (known !== undefined && known.entry.incarnation > entry.incarnation) return
  const unused = recordNewTarget(state, entry)
  const previous = known ?? takeDeparted(state, entry)
  const restarts = (state.restarts.get(entry.id) ?? 0) + (previous === undefined ? 0 : 1)
  if (previous !== undefined) state.restarts.set(entry.id, restarts)
  const target = TargetState.create(entry, state.now, restarts)
  target.revocations = state.revocations.get(entry.id) ?? 0
  target.unused = unused && previous === undefined
  if (previous !== undefined) replaceTarget(state, previous, target)
  confirmReplacedCrashes(state, entry)
  if (known !== undefined || !entry.draining) state.closedTargets.delete(entry.id)
  state.targets.set(entry.id, target)
  removeRunsLostByRestarts(state)
  state.effects.push({ type: 'watch-target', id: entry.id })
  if (!state.storedTargets.has(entry.id)) storeTargets(state)
  log(state, 'info', 'target-seen', { target: entry.id, address: entry.address, failureDomain: entry.failureDomain, incarnation: entry.incarnation })
}

/**
 * Handles a listing of an incarnation whose entry has not been read. It may be of another kind, so it gets no tasks until its
 * capacity and labels are known.
 */
export function handleTargetRestarted (state: CellState, target: TargetState, incarnation: number): void {
  addTarget(state, { ...target.entry, incarnation })
  const restarted = state.targets.get(target.id)!
  restarted.awaitsEntry = true
  restarted.published = target.published
}

function replaceTarget (state: CellState, previous: TargetState, next: TargetState): void {
  logRestart(state, previous, next)
  confirmCrash(state, previous)
  if (state.unboundTargets.has(next.id)) next.inheritLeases(previous, state.options.longestLeaseMs)
  else next.expectOwnLeases(previous, state.options.leaseMs)
  next.spare = isEmptiedByRestart(state, previous) && hasOpenTargetBeside(state, previous)
  transferRuns(state, previous, next)
}

/** Logs what the previous incarnation leaves that may be applied to the next one by mistake. */
function logRestart (state: CellState, previous: TargetState, next: TargetState): void {
  log(state, 'info', 'target-restarted', {
    target: next.id,
    incarnation: next.entry.incarnation,
    previousIncarnation: previous.entry.incarnation,
    runs: previous.runs.size,
    unansweredStarts: previous.unansweredStarts.size,
    lastCursor: previous.sentCursor,
    listUnanswered: previous.listUnanswered,
    ...(previous.leaseRequestedAt === -Infinity ? {} : { leaseRequestedMsAgo: Math.round(state.now - previous.leaseRequestedAt) }),
    longestLeaseMs: state.unboundTargets.has(next.id) ? state.options.longestLeaseMs : state.options.leaseMs
  })
}

/**
 * Moves the runs of the previous incarnation to the next one. The restart has ended those that end with it. A start command of
 * any other may have reached the new incarnation before its entry was read, so that only the next listing shows which of them
 * are gone, whatever the incarnation before has listed. A run that is starting is stopped, not resent: the target may be of another kind now. So is a run with a start that
 * has had no answer, which may still reach the new incarnation.
 */
function transferRuns (state: CellState, previous: TargetState, next: TargetState): void {
  for (const live of [...previous.runs.values()]) {
    previous.remove(live)
    live.target = next
    live.carriedOver = true
    next.add(live)
    if (live.endsWithTarget) recordLostByRestart(state, live)
    else state.runsLostByRestarts.delete(live)
    if (live.endsWithTarget || (live.phase !== 'starting' && !hasUnansweredStarts(previous, live))) continue
    live.respondedAt = undefined
    sendStop(state, live, 'its target has restarted')
  }
  transferUnansweredStarts(state, previous, next)
}

/** Handles a removed entry. The target is kept, because it may have left or crashed, or may only be disconnected. */
export function handleTargetWithdrawn (state: CellState, id: string): void {
  const target = state.targets.get(id)
  if (target === undefined) return
  target.published = false
  log(state, 'info', 'target-withdrawn', { target: id, draining: target.entry.draining, runs: target.runs.size })
}

/** Removes targets that are gone and have no runs. */
export function removeGoneTargets (state: CellState): void {
  for (const target of [...state.targets.values()]) {
    if (!isGone(target) || !isEmpty(state, target)) continue
    state.targets.delete(target.id)
    state.departedTargets.set(target.id, { target, removedAt: state.now })
    state.storedTargets.delete(target.id)
    state.closedTargets.delete(target.id)
    state.effects.push({ type: 'forget-target', id: target.id })
    storeTargets(state)
  }
}

/**
 * Removes draining targets without runs from the stored list, and closes those with runs. They get no more tasks, and a new
 * leader would wait until the leases of each open target that it cannot list have expired.
 */
export function pruneStoredTargets (state: CellState): void {
  const drained = [...state.targets.values()].filter(({ id }) => state.storedTargets.has(id) || state.closedTargets.has(id)).filter((target) => !mayHoldRuns(state, target))
  for (const { id } of drained) {
    state.storedTargets.delete(id)
    state.closedTargets.delete(id)
  }
  const closed = closeDrainingTargets(state)
  const forgotten = forgetEarlierIncarnations(state)
  const bound = state.earlierCommands.type === 'known' && state.unboundTargets.forgetInherited(state.now, state.earlierCommands.endAt, computeForeignLeasesMs(state))
  if (drained.length > 0 || closed || forgotten || bound) storeTargets(state)
}

/** Lets the spare targets be used that are needed, once they are stored as targets that may have runs. */
export function useSpareTargets (state: CellState): void {
  if (releaseSpareTargets(state)) storeTargets(state)
}

/** Marks a target whose commands were withheld again and again, and stores that before any command may reach a later incarnation. */
export function recordReduction (state: CellState, target: TargetState, isReduced: boolean): void {
  target.reducedListings = isReduced ? target.reducedListings + 1 : 0
  if (!state.unboundTargets.markIfReduced(target.id, target.reducedListings)) return
  log(state, 'warn', 'target-unbound', { target: target.id, incarnation: target.entry.incarnation, reducedListings: target.reducedListings })
  storeTargets(state)
}

/** Records the list of targets that was stored, without those that can no longer have runs. */
export function recordStoredTargets (state: CellState, ids: readonly string[]): void {
  for (const id of ids) {
    const target = state.targets.get(id)
    if (state.closedTargets.has(id)) continue
    if (target === undefined || mayHoldRuns(state, target)) state.storedTargets.add(id)
    if (target !== undefined) recordRoom(state, target)
  }
  state.startPassNeeded = true
}

/**
 * Handles that the runs of previous owners are known, apart from those on closed targets that cannot be listed: the tasks
 * that may run there wait for the expiry of their leases.
 */
export function resolveListedRuns (state: CellState): void {
  if (!state.earlierRunsPossible) return
  state.earlierRunsPossible = false
  state.startPassNeeded = true
  holdBackTasks(state)
  log(state, 'info', 'earlier-runs-listed', { targets: state.targets.size, heldBackTasks: state.heldBackTasks.size })
  if (state.heldBackTasks.size === 0) resolveEarlierRuns(state, 'listed')
}

/**
 * Handles that all runs of previous owners are known or have expired. Only known targets remain on the stored list, which is
 * stored in any case so that the next owner learns that the terms before this one are settled.
 */
export function resolveEarlierRuns (state: CellState, by: 'listed' | 'lapsed'): void {
  state.earlierRunsPossible = false
  releaseTasks(state)
  releaseEndedJobs(state)
  const gone = [...state.storedTargets, ...state.closedTargets.keys()].filter((id) => !state.targets.has(id))
  for (const id of gone) {
    state.storedTargets.delete(id)
    state.closedTargets.delete(id)
    state.commandedIncarnations.delete(id)
  }
  storeTargets(state)
  const unlisted = [...state.targets.values()].filter(({ listed }) => !listed).map(({ id }) => id)
  log(state, 'info', 'earlier-runs-settled', { by, targets: state.targets.size, unlisted: unlisted.length, unlistedTargets: formatTargets(unlisted).targets ?? '', gone: gone.length })
}

/** Stores the list of targets that may have runs. While previous owners may have runs, their targets stay on the list. */
function storeTargets (state: CellState): void {
  const open = [...state.targets.values()].filter((target) => mayHoldRuns(state, target) && !state.closedTargets.has(target.id))
  const ids = new Set(open.map(({ id }) => id))
  if (state.earlierRunsPossible) {
    for (const id of state.storedTargets) ids.add(id)
  }
  const closed = toClosedTargets(state)
  const stored = [...ids, ...Object.keys(closed)]
  const incarnations = toIncarnations(state, stored)
  // Commands to a marked target that has left may still reach its next incarnation, which may come back under the next owner.
  const unbound = state.unboundTargets.toStored([...new Set([...stored, ...Object.keys(incarnations), ...state.departedTargets.keys()])])
  state.effects.push({ type: 'store-targets', ids: [...ids], closed, incarnations, ...unbound !== undefined && { unbound } })
}

function mayHoldRuns (state: CellState, target: TargetState): boolean {
  if (target.spare && target.fenced && isEmpty(state, target)) return false
  return !target.entry.draining || !target.listed || !isEmpty(state, target)
}

/** Whether a target has left. A missing entry is not enough, because it may be missing after an outage of the store. */
function isGone (target: TargetState): boolean {
  return !target.published && (!target.reachable || target.entry.draining)
}

/**
 * Whether no run can be present. A listed target has no runs besides those that are booked and those of unknown jobs, which end
 * with their leases. Any other target may have runs of a previous owner; the next leader waits for each target that is still on
 * the stored list.
 */
function isEmpty (state: CellState, target: TargetState): boolean {
  if (target.runs.size > 0 || (target.unknownRunCount > 0 && !haveLeasesExpired(state, target))) return false
  return target.listed || target.unused || !(state.earlierRunsPossible || state.heldBackTasks.size > 0)
}
