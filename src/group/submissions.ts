import type { Work } from '../model/work.ts'
import { refuseSubmission, sendAnswer } from './responses.ts'
import { commitJobs } from './commits.ts'
import { schedule } from './apply-scheduler-event.ts'
import type { GroupState, SubmittedEvent } from './state.ts'
import { MEMBER_CLOCK_MARGIN_MS } from './timing.ts'
import { isKeyed, newWorkEntry, type WorkEntry } from './work-entry.ts'

/** Submissions that may wait for the end of a recovery. */
const DEFERRED_LIMIT = 5_000
const RETRY_AFTER_MS = 1_000
/** Allowance for the clock of the caller that issued an idempotency key. */
const KEY_CLOCK_MARGIN_MS = 60_000

/**
 * Handles submitted work: repeats the known answer, waits for the recovery, refuses, or starts it.
 *
 * @example
 * submit(state, event)
 */
export function submit (state: GroupState, event: SubmittedEvent): void {
  const known = state.works.get(event.work.id)
  if (known !== undefined) return joinKnown(state, event, known)
  if (!state.recovery.ready) return defer(state, event)
  if (event.work.kind === 'request') submitRequest(state, event)
  else submitJob(state, event)
}

/**
 * Whether a target of an earlier owner is neither listed nor certainly stopped.
 *
 * @example
 * holdsUncertainTargets(state)
 */
export function holdsUncertainTargets (state: GroupState): boolean {
  for (const id of state.recovery.inheritedTargets) {
    if (state.sessions.get(id)?.phase === 'unlisted') return true
  }
  return false
}

function joinKnown (state: GroupState, event: SubmittedEvent, entry: WorkEntry): void {
  if (!sameWork(entry.work, event.work)) {
    refuseSubmission(state, event, { reason: 'id-reused', detail: 'the idempotency key was used for different work' }, 'not-run')
    return
  }
  entry.submitters.set(event.nonce, event.from)
  sendAnswer(state, entry, event.nonce)
}

function defer (state: GroupState, event: SubmittedEvent): void {
  const { deferred } = state.recovery
  if (deferred.size < DEFERRED_LIMIT || deferred.has(event.nonce)) {
    deferred.set(event.nonce, event)
    return
  }
  refuseSubmission(state, event, { reason: 'overloaded', retryAfterMs: RETRY_AFTER_MS }, event.resumed ? 'may-have-run' : 'not-run')
}

function submitRequest (state: GroupState, event: SubmittedEvent): void {
  const repeated = mayHaveRunBefore(state, event)
  if (repeated && holdsUncertainTargets(state)) return hold(state, event)
  const uncertain = repeated && resultMayBeLost(state, event)
  if (uncertain && !event.work.idempotent) {
    const detail = 'a host that may have run the request was lost or restarted before it could be asked'
    refuseSubmission(state, event, { reason: 'outcome-unknown', detail }, 'may-have-run')
    return
  }
  if (event.work.kind === 'request' && event.work.deadlineAt <= event.now) {
    refuseSubmission(state, event, { reason: 'deadline-passed' }, uncertain || startedByEarlierOwner(state, event) ? 'may-have-run' : 'not-run')
    return
  }
  const entry = newWorkEntry(event.work)
  entry.mayHaveRun = uncertain || startedByEarlierOwner(state, event)
  entry.submitters.set(event.nonce, event.from)
  state.works.set(event.work.id, entry)
  schedule(state, { type: 'work-submitted', now: event.now, work: event.work })
}

function submitJob (state: GroupState, event: SubmittedEvent): void {
  const refusal = state.scheduler.admission(event.work)
  if (refusal !== undefined) {
    refuseSubmission(state, event, refusal, 'not-run')
    return
  }
  const entry = newWorkEntry(event.work)
  entry.submitters.set(event.nonce, event.from)
  state.works.set(event.work.id, entry)
  commitJobs(state, [entry], { type: 'accept', work: event.work.id })
}

/**
 * Whether a request that this owner does not know may have been sent to a target by an earlier owner: the frontend says
 * so, or it carries an idempotency key and the change of owner is recent.
 */
function mayHaveRunBefore (state: GroupState, event: SubmittedEvent): boolean {
  if (event.resumed) return true
  if (!isKeyed(event.work.id) || event.work.idempotent) return false
  return event.now - state.recovery.acquiredAt <= state.timing.retentionMs
}

function hold (state: GroupState, event: SubmittedEvent): void {
  const { held } = state.recovery
  if (held.size < DEFERRED_LIMIT || held.has(event.nonce)) held.set(event.nonce, event)
  else refuseSubmission(state, event, { reason: 'overloaded', retryAfterMs: RETRY_AFTER_MS }, 'may-have-run')
}

/**
 * Attempts of an idempotent request are acknowledged as they end, so that a new owner cannot tell whether there were any.
 */
function startedByEarlierOwner (state: GroupState, event: SubmittedEvent): boolean {
  if (state.recovery.startedBefore.has(event.work.id)) return true
  if (!event.work.idempotent || state.epoch === 1) return false
  return event.resumed || (isKeyed(event.work.id) && event.now - state.recovery.acquiredAt <= state.timing.retentionMs)
}

/**
 * Whether the result of an attempt under an earlier owner may be missing from the listings: it must have ended before
 * the last loss of results, so the request or its key must be older than that.
 */
function resultMayBeLost (state: GroupState, event: SubmittedEvent): boolean {
  const { resultsLostUntil, acquiredAt } = state.recovery
  if (event.resumed) return resultsLostUntil > event.work.submittedAt - MEMBER_CLOCK_MARGIN_MS
  const { keyIssuedAt } = event.work
  if (keyIssuedAt !== undefined) return resultsLostUntil > keyIssuedAt - KEY_CLOCK_MARGIN_MS
  return resultsLostUntil > acquiredAt - state.timing.retentionMs
}

function sameWork (left: Work, right: Work): boolean {
  return fingerprint(left) === fingerprint(right)
}

function fingerprint (work: Work): string {
  const { team, queue, kind, resources, payload, idempotent } = work
  return JSON.stringify([team, queue, kind, resources, payload, idempotent, work.kind === 'request' ? 1 : work.count])
}
