import { assertNever } from '../util/assert-never.ts'
import { respondToAll, refuseWork } from './responses.ts'
import { commitJobs } from './commits.ts'
import { finishJobIfComplete } from './completions.ts'
import type { CommitOutcome } from './event.ts'
import { sendGroupResponse } from './group-requests.ts'
import { sendDelayedStart } from './send-delayed-start.ts'
import { applySchedulerEvent } from './apply-scheduler-event.ts'
import type { CommitPurpose, GroupState } from './state.ts'
import { getRemainingIndices, type KeptResult, type WorkEntry } from './work-entry.ts'

const RETRY_AFTER_MS = 1_000
/** Maximum number of jobs whose progress one group commit writes; keeps a transaction well below the limits of the store. */
const MAX_JOBS_PER_COMMIT = 64

/**
 * Writes the progress of jobs that changed since it was last written, at most once per interval.
 *
 * @example
 * writeProgress(state, now)
 */
export function writeProgress (state: GroupState, now: number): void {
  if (now < state.nextProgressAt) return
  state.nextProgressAt = now + state.timing.progressIntervalMs
  const dirtyEntries: WorkEntry[] = []
  for (const entry of state.workEntries.values()) {
    if (entry.dirty && entry.durability === 'stored') dirtyEntries.push(entry)
    if (dirtyEntries.length === MAX_JOBS_PER_COMMIT) break
  }
  if (dirtyEntries.length === 0) return
  for (const entry of dirtyEntries) entry.dirty = false
  commitJobs(state, dirtyEntries, { type: 'progress', workIds: dirtyEntries.map((entry) => entry.work.id), keptResults: drainKeptResults(dirtyEntries) })
}

/**
 * Continues the work that waited for a group commit.
 *
 * @example
 * handleCommitOutcome(state, now, commitId, 'applied')
 */
export function handleCommitOutcome (state: GroupState, now: number, commitId: string, outcome: CommitOutcome): void {
  const purpose = state.pendingCommits.get(commitId)
  state.pendingCommits.delete(commitId)
  if (purpose === undefined || outcome === 'fenced') return
  if (outcome === 'applied') handleCommitApplied(state, now, purpose)
  else handleCommitFailed(state, purpose)
}

function handleCommitApplied (state: GroupState, now: number, purpose: CommitPurpose): void {
  switch (purpose.type) {
    case 'accept': return acceptJob(state, now, purpose.work)
    case 'progress':
      for (const kept of purpose.keptResults) state.sessions.get(kept.targetId)?.acknowledge(kept)
      return
    case 'intent': return startAfterIntentCommit(state, now, purpose.taskId, purpose.attempt)
    case 'cancel': return confirmCancellation(state, now, purpose)
    case 'targets':
      state.targetCommitPending = false
      state.storedTargets.clear()
      for (const id of purpose.ids) state.storedTargets.add(id)
      return
    case 'forget': return
    default: return assertNever(purpose)
  }
}

function handleCommitFailed (state: GroupState, purpose: CommitPurpose): void {
  state.outbox.push({ type: 'count', counter: 'commit-failed', reason: purpose.type })
  switch (purpose.type) {
    case 'accept': return refuseUnstoredJob(state, purpose.work)
    case 'progress':
      for (const work of purpose.workIds) markDirty(state, work)
      for (const kept of purpose.keptResults) state.workEntries.get(kept.taskId.slice(0, kept.taskId.lastIndexOf('/')))?.keptResults.push(kept)
      return
    case 'intent': {
      const task = state.tasks.get(purpose.taskId)
      if (task !== undefined) commitJobs(state, [task.entry], purpose)
      return
    }
    case 'cancel':
      sendGroupResponse(state, purpose, { type: 'cancel', outcome: 'store-unavailable' })
      return markDirty(state, purpose.work)
    case 'targets':
      state.targetCommitPending = false
      return
    case 'forget': return
    default: return assertNever(purpose)
  }
}

function acceptJob (state: GroupState, now: number, work: string): void {
  const entry = state.workEntries.get(work)
  if (entry === undefined || entry.durability === 'stored') return
  entry.durability = 'stored'
  respondToAll(state, entry, { type: 'accepted', work })
  // Accepted work must not be refused: with a list of remaining tasks, the scheduler skips the admission check.
  if (!entry.cancelled) applySchedulerEvent(state, { type: 'work-submitted', now, work: entry.work, remaining: getRemainingIndices(entry) })
}

function refuseUnstoredJob (state: GroupState, work: string): void {
  const entry = state.workEntries.get(work)
  if (entry === undefined) return
  state.workEntries.delete(work)
  refuseWork(state, entry, { reason: 'store-unavailable', retryAfterMs: RETRY_AFTER_MS })
}

function startAfterIntentCommit (state: GroupState, now: number, taskId: string, attempt: number): void {
  const task = state.tasks.get(taskId)
  if (task === undefined || task.phase !== 'intent' || task.attempt !== attempt) return
  task.phase = 'starting'
  sendDelayedStart(state, now, task)
}

function confirmCancellation (state: GroupState, now: number, purpose: Extract<CommitPurpose, { type: 'cancel' }>): void {
  sendGroupResponse(state, purpose, { type: 'cancel', outcome: 'cancelled' })
  const entry = state.workEntries.get(purpose.work)
  if (entry !== undefined) finishJobIfComplete(state, now, entry)
}

function markDirty (state: GroupState, work: string): void {
  const entry = state.workEntries.get(work)
  if (entry !== undefined) entry.dirty = true
}

function drainKeptResults (entries: readonly WorkEntry[]): readonly KeptResult[] {
  return entries.flatMap((entry) => entry.keptResults.splice(0))
}
