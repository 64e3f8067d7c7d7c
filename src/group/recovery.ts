import type { Result } from 'neverthrow'
import { formatTaskId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import { NO_RESOURCES, add } from '../model/resources.ts'
import type { StoreEntry, StoreFailure } from '../ports/store.ts'
import { commitWrites } from './commits.ts'
import { finishJobIfComplete, recordFinalResult } from './completions.ts'
import { groupPrefix, jobKey, parseJobRecord, targetsKey } from './job-record.ts'
import { applySchedulerEvent } from './apply-scheduler-event.ts'
import { scheduleRemoval } from './retention.ts'
import type { GroupState, SubmittedEvent } from './state.ts'
import { hasUncertainTargets, handleSubmission } from './submissions.ts'
import { TargetSession } from './target-session.ts'
import { MEMBER_CLOCK_MARGIN_MS } from './timing.ts'
import { hasFinalResult, getRemainingIndices, fromJobRecord, type WorkEntry } from './work-entry.ts'

/** Delay after which a failed load of the records of the group is repeated. */
const LOAD_RETRY_DELAY_MS = 500

/**
 * Requests the records of the group from the store; repeats a failed load after a delay.
 *
 * @example
 * requestRecords(state, now)
 */
export function requestRecords (state: GroupState, now: number): void {
  const { recovery } = state
  if (recovery.loadState !== 'not-requested' || now < recovery.nextLoadAt) return
  recovery.loadState = 'requested'
  state.outbox.push({ type: 'load', prefix: groupPrefix(state.group) })
}

/**
 * Restores the jobs and the targets of previous owners from the loaded records.
 *
 * @example
 * applyLoadedRecords(state, now, result)
 */
export function applyLoadedRecords (state: GroupState, now: number, result: Result<readonly StoreEntry[], StoreFailure>): void {
  const { recovery } = state
  if (recovery.loadState === 'loaded') return
  if (result.isErr()) {
    recovery.loadState = 'not-requested'
    recovery.nextLoadAt = now + LOAD_RETRY_DELAY_MS
    state.outbox.push({ type: 'count', counter: 'load-retried', reason: result.error.reason })
    return
  }
  recovery.loadState = 'loaded'
  for (const entry of result.value) {
    if (entry.key === targetsKey(state.group)) restoreTargets(state, now, entry.value)
    else restoreJob(state, entry)
  }
}

/**
 * Applies the targets of the group from the host list. A target is used only after its id is stored, so that a later
 * owner lists its tasks even if the host list no longer contains it.
 *
 * @example
 * applyHostList(state, now, targets)
 */
export function applyHostList (state: GroupState, now: number, targets: readonly Target[]): void {
  state.recovery.hostsListed = true
  const previouslyListed = state.listedTargets
  state.listedTargets = new Set(targets.map((target) => target.id))
  for (const target of targets) {
    const session = state.sessions.get(target.id)
    if (session === undefined) {
      state.sessions.set(target.id, createSession(state, now, target))
      continue
    }
    const knownTarget = session.target
    session.updateTarget({ ...target, capacity: session.phase === 'adopted' ? knownTarget.capacity : target.capacity })
    if (session.phase === 'adopted' && knownTarget.state !== target.state) upsertTarget(state, now, session)
  }
  for (const session of state.sessions.values()) {
    const listingChanged = previouslyListed.has(session.id) !== state.listedTargets.has(session.id)
    if (listingChanged && session.phase === 'adopted') upsertTarget(state, now, session)
  }
  commitTargets(state)
}

/**
 * Passes an adopted target to the scheduler, as leaving if an operator drains its host or the host list lacks it.
 *
 * @example
 * upsertTarget(state, now, session)
 */
export function upsertTarget (state: GroupState, now: number, session: TargetSession): void {
  const drained = state.configuration.drains.has(session.target.host) || !state.listedTargets.has(session.id)
  const target: Target = drained ? { ...session.target, state: 'leaving' } : session.target
  applySchedulerEvent(state, { type: 'target-upserted', now, target })
}

/**
 * Stores the set of targets that owners may have used when it differs from the current sessions.
 *
 * @example
 * commitTargets(state)
 */
export function commitTargets (state: GroupState): void {
  if (state.recovery.loadState !== 'loaded' || state.targetCommitPending) return
  const sessions = [...state.sessions.values()]
  const hasUnstoredTarget = sessions.some((session) => !state.storedTargets.has(session.id))
  if (!hasUnstoredTarget && state.storedTargets.size === sessions.length) return
  state.targetCommitPending = true
  const value = JSON.stringify(sessions.map((session) => session.target))
  commitWrites(state, [{ type: 'put', key: targetsKey(state.group), value }], { type: 'targets', ids: sessions.map((session) => session.id) })
}

/**
 * Marks the group as ready once its records are loaded and its targets have listed their tasks or the grace period is
 * over. Resumes the stored jobs once no target of a previous owner is uncertain.
 *
 * @example
 * continueRecovery(state, now)
 */
export function continueRecovery (state: GroupState, now: number): void {
  const { recovery } = state
  if (recovery.loadState !== 'loaded' || !recovery.hostsListed) return
  if (!recovery.ready && (hasAdoptedAllTargets(state) || now >= recovery.acquiredAt + state.timing.recoveryGraceMs)) markReady(state, now)
  if (recovery.ready && !recovery.jobsResumed && !hasUncertainTargets(state)) resumeJobs(state, now)
}

function markReady (state: GroupState, now: number): void {
  state.recovery.ready = true
  const usedByTeam = new Map<string, typeof NO_RESOURCES>()
  for (const task of state.tasks.values()) {
    if (task.phase === 'waiting') continue
    const team = task.entry.work.team
    usedByTeam.set(team, add(usedByTeam.get(team) ?? NO_RESOURCES, task.entry.work.resources))
  }
  const used = [...usedByTeam].map(([team, amount]) => ({ team, amount }))
  state.outbox.push(
    { type: 'recovered', used },
    { type: 'log', level: 'info', message: 'group-ready', fields: { group: state.group, epoch: state.epoch, running: state.tasks.size, targets: state.sessions.size } }
  )
  resubmit(state, now, state.recovery.deferredSubmissions)
}

function resumeJobs (state: GroupState, now: number): void {
  state.recovery.jobsResumed = true
  for (const entry of [...state.workEntries.values()]) {
    if (entry.durability !== 'stored' || entry.ended || entry.cancelled) continue
    if (!entry.work.idempotent) recordUnknownResults(state, now, entry)
    const remaining = getRemainingIndices(entry).filter((index) => !state.tasks.has(`${entry.work.id}/${index}`))
    if (remaining.length > 0) applySchedulerEvent(state, { type: 'work-submitted', now, work: entry.work, remaining })
  }
  resubmit(state, now, state.recovery.heldSubmissions)
}

/**
 * Records the result `unknown` for non-idempotent tasks that may have run. A task with a stored start intent that no
 * target lists has not run, unless a target of a previous owner has lost its results since the job was submitted.
 */
function recordUnknownResults (state: GroupState, now: number, entry: WorkEntry): void {
  if (state.recovery.resultsLostBefore < entry.work.submittedAt - MEMBER_CLOCK_MARGIN_MS) return
  for (const index of entry.intents) {
    if (!hasFinalResult(entry, index) && !state.tasks.has(formatTaskId(entry.work.id, index))) recordFinalResult(entry, index, 'unknown')
  }
  finishJobIfComplete(state, now, entry)
}

function resubmit (state: GroupState, now: number, submissions: Map<string, SubmittedEvent>): void {
  const events = [...submissions.values()]
  submissions.clear()
  for (const event of events) handleSubmission(state, { ...event, now })
}

function hasAdoptedAllTargets (state: GroupState): boolean {
  for (const session of state.sessions.values()) {
    if (session.phase === 'unlisted') return false
  }
  return state.sessions.size > 0
}

function restoreTargets (state: GroupState, now: number, text: string): void {
  const targets = JSON.parse(text) as readonly Target[]
  for (const target of targets) {
    state.storedTargets.add(target.id)
    state.recovery.inheritedTargets.add(target.id)
    if (!state.sessions.has(target.id)) state.sessions.set(target.id, createSession(state, now, target))
  }
}

function restoreJob (state: GroupState, entry: StoreEntry): void {
  const record = parseJobRecord(entry.value)
  if (record.isErr() || entry.key !== jobKey(state.group, record.value.work.id)) {
    state.outbox.push({ type: 'log', level: 'error', message: 'job-record-malformed', fields: { key: entry.key } })
    return
  }
  const loaded = fromJobRecord(record.value)
  state.workEntries.set(loaded.work.id, loaded)
  if (loaded.ended) scheduleRemoval(state, loaded)
}

function createSession (state: GroupState, now: number, target: Target): TargetSession {
  const { group, epoch, timing } = state
  return TargetSession.create({ target, group, epoch, timing, now })
}
