import type { WorkId } from '../model/ids.ts'
import { refuseAll } from './responses.ts'
import { commit } from './commits.ts'
import type { CommitWrite } from './effect.ts'
import { finishWork } from './completions.ts'
import { jobKey } from './job-record.ts'
import type { GroupState } from './state.ts'
import { isKeyed, type WorkEntry } from './work-entry.ts'

/** Ended works that are forgotten in one tick. */
const FORGET_BATCH = 256
/** An answered request is kept this long, so that a late copy of its submission finds it. */
const LATE_COPY_MS = 30_000

/**
 * Answers requests that still run when their deadline passes, and stops them.
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
    refuseAll(state, entry, { reason: 'deadline-passed' })
    finishWork(state, now, entry)
  }
}

/**
 * Plans when ended work is forgotten. Work with an idempotency key and jobs stay for the retention. Other requests stay
 * until no frontend can submit them again: until their deadline if the answer was not received.
 *
 * @example
 * rememberEnded(state, entry)
 */
export function rememberEnded (state: GroupState, entry: WorkEntry): void {
  state.endedWorks.set(entry.work.id, forgetAt(state, entry))
}

/**
 * Notes that a caller has its answer; the target need not keep the result of a request without an idempotency key.
 *
 * @example
 * noteAnswerReceived(state, now, 'g3-n01h8', nonce)
 */
export function noteAnswerReceived (state: GroupState, now: number, work: WorkId, nonce: string): void {
  const entry = state.works.get(work)
  if (entry === undefined) return
  entry.submitters.delete(nonce)
  if (entry.work.kind !== 'request' || !entry.ended || isKeyed(work) || entry.submitters.size > 0) return
  entry.answerReceived = true
  acknowledgeKept(state, entry)
  state.endedWorks.set(work, now + LATE_COPY_MS)
}

/**
 * Forgets ended work after its time: its answer, its record in the store, and the result that its target keeps.
 *
 * @example
 * forgetOldWork(state, now)
 */
export function forgetOldWork (state: GroupState, now: number): void {
  const writes: CommitWrite[] = []
  for (let count = 0; count < FORGET_BATCH; count += 1) {
    const id = state.endedWorks.top()
    if (id === undefined || state.endedWorks.topKey() > now) break
    state.endedWorks.delete(id)
    const entry = state.works.get(id)
    if (entry === undefined) continue
    if (entry.work.kind !== 'request') writes.push({ type: 'delete', key: jobKey(state.group, id) })
    acknowledgeKept(state, entry)
    state.works.delete(id)
  }
  if (writes.length > 0) commit(state, writes, { type: 'forget' })
}

function forgetAt (state: GroupState, entry: WorkEntry): number {
  if (entry.work.kind !== 'request' || isKeyed(entry.work.id)) return entry.endedAt + state.timing.retentionMs
  if (entry.answerReceived) return entry.endedAt + LATE_COPY_MS
  return Math.max(entry.endedAt, entry.work.deadlineAt) + LATE_COPY_MS
}

function acknowledgeKept (state: GroupState, entry: WorkEntry): void {
  for (const kept of entry.kept.splice(0)) state.sessions.get(kept.targetId)?.acknowledge(kept)
}
