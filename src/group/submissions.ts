import type { Work } from '../model/work.ts'
import { refuseSubmission, sendResponse } from './responses.ts'
import { commitJobs } from './commits.ts'
import { applySchedulerEvent } from './apply-scheduler-event.ts'
import type { GroupState, SubmittedEvent } from './state.ts'
import { MEMBER_CLOCK_MARGIN_MS } from './timing.ts'
import { hasIdempotencyKey, createWorkEntry, type WorkEntry } from './work-entry.ts'

/** Maximum number of submissions that wait for the recovery, in each of its two waiting lists. */
const MAX_DEFERRED_SUBMISSIONS = 5_000
const RETRY_AFTER_MS = 1_000
/** Allowance for the clock error of the caller that issued an idempotency key. */
const KEY_CLOCK_MARGIN_MS = 60_000

/**
 * Handles submitted work: sends the stored response again, defers the submission until the recovery is done, refuses the
 * work or accepts it.
 *
 * @example
 * handleSubmission(state, event)
 */
export function handleSubmission (state: GroupState, event: SubmittedEvent): void {
  const known = state.workEntries.get(event.work.id)
  if (known !== undefined) return joinExistingWork(state, event, known)
  if (!state.recovery.ready) return deferSubmission(state, event)
  if (event.work.kind === 'request') submitRequest(state, event)
  else submitJob(state, event)
}

/**
 * Returns whether a target of a previous owner has neither listed its tasks nor definitely stopped them.
 *
 * @example
 * hasUncertainTargets(state)
 */
export function hasUncertainTargets (state: GroupState): boolean {
  for (const id of state.recovery.inheritedTargets) {
    if (state.sessions.get(id)?.phase === 'unlisted') return true
  }
  return false
}

function joinExistingWork (state: GroupState, event: SubmittedEvent, entry: WorkEntry): void {
  if (!isSameWork(entry.work, event.work)) {
    refuseSubmission(state, event, { reason: 'id-reused', detail: 'the idempotency key was used for different work' }, 'not-run')
    return
  }
  entry.submitters.set(event.nonce, event.from)
  sendResponse(state, entry, event.nonce)
}

function deferSubmission (state: GroupState, event: SubmittedEvent): void {
  const { deferredSubmissions } = state.recovery
  if (deferredSubmissions.size < MAX_DEFERRED_SUBMISSIONS || deferredSubmissions.has(event.nonce)) {
    deferredSubmissions.set(event.nonce, event)
    return
  }
  refuseSubmission(state, event, { reason: 'overloaded', retryAfterMs: RETRY_AFTER_MS }, event.resumed ? 'may-have-run' : 'not-run')
}

function submitRequest (state: GroupState, event: SubmittedEvent): void {
  const previousAttemptPossible = mayHaveRunBefore(state, event)
  if (previousAttemptPossible && hasUncertainTargets(state)) return holdSubmission(state, event)
  const outcomeUnknown = previousAttemptPossible && resultMayBeLost(state, event)
  if (outcomeUnknown && !event.work.idempotent) {
    const detail = 'a host that may have run the request was lost or restarted before it could report the result'
    refuseSubmission(state, event, { reason: 'outcome-unknown', detail }, 'may-have-run')
    return
  }
  if (event.work.kind === 'request' && event.work.deadlineAt <= event.now) {
    refuseSubmission(state, event, { reason: 'deadline-passed' }, outcomeUnknown || mayHaveStartedBefore(state, event) ? 'may-have-run' : 'not-run')
    return
  }
  const entry = createWorkEntry(event.work)
  entry.mayHaveRun = outcomeUnknown || mayHaveStartedBefore(state, event)
  entry.submitters.set(event.nonce, event.from)
  state.workEntries.set(event.work.id, entry)
  applySchedulerEvent(state, { type: 'work-submitted', now: event.now, work: event.work })
}

function submitJob (state: GroupState, event: SubmittedEvent): void {
  const refusal = state.scheduler.admission(event.work)
  if (refusal !== undefined) {
    refuseSubmission(state, event, refusal, 'not-run')
    return
  }
  const entry = createWorkEntry(event.work)
  entry.submitters.set(event.nonce, event.from)
  state.workEntries.set(event.work.id, entry)
  commitJobs(state, [entry], { type: 'accept', work: event.work.id })
}

/**
 * Returns whether a previous owner may have sent to a target a request that this owner does not know: the frontend
 * submits it as resumed, or it is not idempotent, has an idempotency key and the change of owner is recent.
 */
function mayHaveRunBefore (state: GroupState, event: SubmittedEvent): boolean {
  if (event.resumed) return true
  if (!hasIdempotencyKey(event.work.id) || event.work.idempotent) return false
  return event.now - state.recovery.acquiredAt <= state.timing.retentionMs
}

function holdSubmission (state: GroupState, event: SubmittedEvent): void {
  const { heldSubmissions } = state.recovery
  if (heldSubmissions.size < MAX_DEFERRED_SUBMISSIONS || heldSubmissions.has(event.nonce)) heldSubmissions.set(event.nonce, event)
  else refuseSubmission(state, event, { reason: 'overloaded', retryAfterMs: RETRY_AFTER_MS }, 'may-have-run')
}

/**
 * Returns whether a previous owner may have started the request. Attempts of an idempotent request are acknowledged as
 * they end, so the listings of the targets do not show whether there were any.
 */
function mayHaveStartedBefore (state: GroupState, event: SubmittedEvent): boolean {
  if (state.recovery.startedByPreviousOwner.has(event.work.id)) return true
  if (!event.work.idempotent || state.epoch === 1) return false
  return event.resumed || (hasIdempotencyKey(event.work.id) && event.now - state.recovery.acquiredAt <= state.timing.retentionMs)
}

/**
 * Returns whether the result of an attempt under a previous owner may be missing from the listings. Such an attempt ended
 * before the last loss of results, so the request or its key must be older than that.
 */
function resultMayBeLost (state: GroupState, event: SubmittedEvent): boolean {
  const { resultsLostBefore, acquiredAt } = state.recovery
  if (event.resumed) return resultsLostBefore > event.work.submittedAt - MEMBER_CLOCK_MARGIN_MS
  const { keyIssuedAt } = event.work
  if (keyIssuedAt !== undefined) return resultsLostBefore > keyIssuedAt - KEY_CLOCK_MARGIN_MS
  return resultsLostBefore > acquiredAt - state.timing.retentionMs
}

function isSameWork (left: Work, right: Work): boolean {
  return computeFingerprint(left) === computeFingerprint(right)
}

function computeFingerprint (work: Work): string {
  const { team, queue, kind, resources, payload, idempotent } = work
  return JSON.stringify([team, queue, kind, resources, payload, idempotent, work.kind === 'request' ? 1 : work.count])
}
