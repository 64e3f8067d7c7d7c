import type { WorkId } from '../model/ids.ts'
import { refuseWork } from './responses.ts'
import { commitWrites } from './commits.ts'
import type { CommitWrite } from './effect.ts'
import { finishWork } from './completions.ts'
import { jobKey } from './job-record.ts'
import type { GroupState } from './state.ts'
import { hasIdempotencyKey, type WorkEntry } from './work-entry.ts'

/** Maximum number of entries of ended work that are removed in one tick. */
const MAX_REMOVALS_PER_TICK = 256
/** How long the entry of an answered request is kept, so that a delayed duplicate of its submission is recognised. */
const LATE_COPY_RETENTION_MS = 30_000

/**
 * Refuses requests that are still on a target when their deadline passes, and stops them.
 *
 * @example
 * expireRequests(state, now)
 */
export function expireRequests (state: GroupState, now: number): void {
  for (const task of state.tasks.values()) {
    const { entry } = task
    if (entry.work.kind !== 'request' || entry.ended || entry.work.deadlineAt > now) continue
    if (task.phase === 'waiting') continue
    if (task.stop === undefined) task.stop = { mode: 'stop', nextAt: now }
    refuseWork(state, entry, { reason: 'deadline-passed' })
    finishWork(state, now, entry)
  }
}

/**
 * Schedules the removal of ended work. Jobs and requests with an idempotency key are kept for the retention time. Other
 * requests are kept until no frontend can submit them again: until their deadline if the response was not received.
 *
 * @example
 * scheduleRemoval(state, entry)
 */
export function scheduleRemoval (state: GroupState, entry: WorkEntry): void {
  state.removalQueue.set(entry.work.id, computeRemovalTime(state, entry))
}

/**
 * Records that a caller has received the response. When all callers of a request without an idempotency key have received
 * it, the target need not keep the result.
 *
 * @example
 * recordResponseReceived(state, now, 'g3-n01h8', nonce)
 */
export function recordResponseReceived (state: GroupState, now: number, work: WorkId, nonce: string): void {
  const entry = state.workEntries.get(work)
  if (entry === undefined) return
  entry.submitters.delete(nonce)
  if (entry.work.kind !== 'request' || !entry.ended || hasIdempotencyKey(work) || entry.submitters.size > 0) return
  entry.responseReceived = true
  acknowledgeKeptResults(state, entry)
  state.removalQueue.set(work, now + LATE_COPY_RETENTION_MS)
}

/**
 * Removes ended work whose removal is due: its response, its record in the store and the result that its target keeps.
 *
 * @example
 * removeExpiredWork(state, now)
 */
export function removeExpiredWork (state: GroupState, now: number): void {
  const writes: CommitWrite[] = []
  for (let count = 0; count < MAX_REMOVALS_PER_TICK; count += 1) {
    const id = state.removalQueue.top()
    if (id === undefined || state.removalQueue.topKey() > now) break
    state.removalQueue.delete(id)
    const entry = state.workEntries.get(id)
    if (entry === undefined) continue
    if (entry.work.kind !== 'request') writes.push({ type: 'delete', key: jobKey(state.group, id) })
    acknowledgeKeptResults(state, entry)
    state.workEntries.delete(id)
  }
  if (writes.length > 0) commitWrites(state, writes, { type: 'forget' })
}

function computeRemovalTime (state: GroupState, entry: WorkEntry): number {
  if (entry.work.kind !== 'request' || hasIdempotencyKey(entry.work.id)) return entry.endedAt + state.timing.retentionMs
  if (entry.responseReceived) return entry.endedAt + LATE_COPY_RETENTION_MS
  return Math.max(entry.endedAt, entry.work.deadlineAt) + LATE_COPY_RETENTION_MS
}

function acknowledgeKeptResults (state: GroupState, entry: WorkEntry): void {
  for (const kept of entry.keptResults.splice(0)) state.sessions.get(kept.targetId)?.acknowledge(kept)
}
