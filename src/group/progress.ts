import { assertNever } from '../util/assert-never.ts'
import { answerAll, refuseAll } from './responses.ts'
import { commitJobs } from './commits.ts'
import { finishJobIfComplete } from './completions.ts'
import type { CommitOutcome } from './event.ts'
import { reply } from './group-requests.ts'
import { repeatStart } from './send-delayed-start.ts'
import { schedule } from './apply-scheduler-event.ts'
import type { CommitPurpose, GroupState } from './state.ts'
import { remainingIndices, type KeptResult, type WorkEntry } from './work-entry.ts'

const RETRY_AFTER_MS = 1_000
/** Jobs whose progress goes into one group commit; keeps a transaction well below the store's limits. */
const PROGRESS_BATCH = 64

/**
 * Writes the progress of jobs that changed since the last time, at most once an interval.
 *
 * @example
 * writeProgress(state, now)
 */
export function writeProgress (state: GroupState, now: number): void {
  if (now < state.nextProgressAt) return
  state.nextProgressAt = now + state.timing.progressIntervalMs
  const dirty: WorkEntry[] = []
  for (const entry of state.works.values()) {
    if (entry.dirty && entry.durability === 'stored') dirty.push(entry)
    if (dirty.length === PROGRESS_BATCH) break
  }
  if (dirty.length === 0) return
  for (const entry of dirty) entry.dirty = false
  commitJobs(state, dirty, { type: 'progress', works: dirty.map((entry) => entry.work.id), kept: takeKept(dirty) })
}

/**
 * Continues what waited for a group commit.
 *
 * @example
 * settleCommit(state, now, commitId, 'applied')
 */
export function settleCommit (state: GroupState, now: number, commitId: string, outcome: CommitOutcome): void {
  const purpose = state.commits.get(commitId)
  state.commits.delete(commitId)
  if (purpose === undefined || outcome === 'fenced') return
  if (outcome === 'applied') applied(state, now, purpose)
  else failed(state, purpose)
}

function applied (state: GroupState, now: number, purpose: CommitPurpose): void {
  switch (purpose.type) {
    case 'accept': return accept(state, now, purpose.work)
    case 'progress':
      for (const kept of purpose.kept) state.sessions.get(kept.targetId)?.acknowledge(kept)
      return
    case 'intent': return startAfterIntent(state, now, purpose.taskId, purpose.attempt)
    case 'cancel': return cancelled(state, now, purpose)
    case 'targets':
      state.targetsCommitPending = false
      state.storedTargets.clear()
      for (const id of purpose.ids) state.storedTargets.add(id)
      return
    case 'forget': return
    default: return assertNever(purpose)
  }
}

function failed (state: GroupState, purpose: CommitPurpose): void {
  state.outbox.push({ type: 'count', counter: 'commit-failed', reason: purpose.type })
  switch (purpose.type) {
    case 'accept': return withdraw(state, purpose.work)
    case 'progress':
      for (const work of purpose.works) markDirty(state, work)
      for (const kept of purpose.kept) state.works.get(kept.taskId.slice(0, kept.taskId.lastIndexOf('/')))?.kept.push(kept)
      return
    case 'intent': {
      const task = state.tasks.get(purpose.taskId)
      if (task !== undefined) commitJobs(state, [task.entry], purpose)
      return
    }
    case 'cancel':
      reply(state, purpose, { type: 'cancel', outcome: 'store-unavailable' })
      return markDirty(state, purpose.work)
    case 'targets':
      state.targetsCommitPending = false
      return
    case 'forget': return
    default: return assertNever(purpose)
  }
}

function accept (state: GroupState, now: number, work: string): void {
  const entry = state.works.get(work)
  if (entry === undefined || entry.durability === 'stored') return
  entry.durability = 'stored'
  answerAll(state, entry, { type: 'accepted', work })
  // Accepted work is never refused: the list of tasks keeps the scheduler from checking it again.
  if (!entry.cancelled) schedule(state, { type: 'work-submitted', now, work: entry.work, remaining: remainingIndices(entry) })
}

function withdraw (state: GroupState, work: string): void {
  const entry = state.works.get(work)
  if (entry === undefined) return
  state.works.delete(work)
  refuseAll(state, entry, { reason: 'store-unavailable', retryAfterMs: RETRY_AFTER_MS })
}

function startAfterIntent (state: GroupState, now: number, taskId: string, attempt: number): void {
  const task = state.tasks.get(taskId)
  if (task === undefined || task.phase !== 'intent' || task.attempt !== attempt) return
  task.phase = 'starting'
  repeatStart(state, now, task)
}

function cancelled (state: GroupState, now: number, purpose: Extract<CommitPurpose, { type: 'cancel' }>): void {
  reply(state, purpose, { type: 'cancel', outcome: 'cancelled' })
  const entry = state.works.get(purpose.work)
  if (entry !== undefined) finishJobIfComplete(state, now, entry)
}

function markDirty (state: GroupState, work: string): void {
  const entry = state.works.get(work)
  if (entry !== undefined) entry.dirty = true
}

function takeKept (entries: readonly WorkEntry[]): readonly KeptResult[] {
  return entries.flatMap((entry) => entry.kept.splice(0))
}
