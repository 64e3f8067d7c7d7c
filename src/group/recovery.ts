import type { Result } from 'neverthrow'
import { formatTaskId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import { NO_RESOURCES, add } from '../model/resources.ts'
import type { StoreEntry, StoreFailure } from '../ports/store.ts'
import { commit } from './commits.ts'
import { finishJobIfComplete, recordFinal } from './completions.ts'
import { groupPrefix, jobKey, parseJobRecord, targetsKey } from './job-record.ts'
import { schedule } from './apply-scheduler-event.ts'
import { rememberEnded } from './retention.ts'
import type { GroupState, SubmittedEvent } from './state.ts'
import { holdsUncertainTargets, submit } from './submissions.ts'
import { TargetSession } from './target-session.ts'
import { MEMBER_CLOCK_MARGIN_MS } from './timing.ts'
import { isFinal, remainingIndices, storedWorkEntry, type WorkEntry } from './work-entry.ts'

/** A failed load of the group's records is tried again after this time. */
const LOAD_RETRY_MS = 500

/**
 * Asks for the group's records in the store, until they are loaded.
 *
 * @example
 * continueLoading(state, now)
 */
export function continueLoading (state: GroupState, now: number): void {
  const { recovery } = state
  if (recovery.loadState !== 'not-asked' || now < recovery.nextLoadAt) return
  recovery.loadState = 'asked'
  state.outbox.push({ type: 'load', prefix: groupPrefix(state.group) })
}

/**
 * Takes the jobs and the targets of earlier owners from the store.
 *
 * @example
 * applyLoaded(state, now, result)
 */
export function applyLoaded (state: GroupState, now: number, result: Result<readonly StoreEntry[], StoreFailure>): void {
  const { recovery } = state
  if (recovery.loadState === 'loaded') return
  if (result.isErr()) {
    recovery.loadState = 'not-asked'
    recovery.nextLoadAt = now + LOAD_RETRY_MS
    state.outbox.push({ type: 'count', counter: 'load-retried', reason: result.error.reason })
    return
  }
  recovery.loadState = 'loaded'
  for (const entry of result.value) {
    if (entry.key === targetsKey(state.group)) loadTargets(state, now, entry.value)
    else loadJob(state, entry)
  }
}

/**
 * Takes a listing of the group's targets. A target is used only after the store names it, so that a later owner asks it
 * for its tasks even if the host list no longer has it.
 *
 * @example
 * applyListedHosts(state, now, targets)
 */
export function applyListedHosts (state: GroupState, now: number, targets: readonly Target[]): void {
  state.recovery.listed = true
  const before = state.listedTargets
  state.listedTargets = new Set(targets.map((target) => target.id))
  for (const target of targets) {
    const session = state.sessions.get(target.id)
    if (session === undefined) {
      state.sessions.set(target.id, openSession(state, now, target))
      continue
    }
    const described = session.target
    session.describe({ ...target, capacity: session.phase === 'adopted' ? described.capacity : target.capacity })
    if (session.phase === 'adopted' && described.state !== target.state) upsertTarget(state, now, session)
  }
  for (const session of state.sessions.values()) {
    const changed = before.has(session.id) !== state.listedTargets.has(session.id)
    if (changed && session.phase === 'adopted') upsertTarget(state, now, session)
  }
  commitTargets(state)
}

/**
 * Tells the scheduler of an adopted target, with operators' drains applied.
 *
 * @example
 * upsertTarget(state, now, session)
 */
export function upsertTarget (state: GroupState, now: number, session: TargetSession): void {
  const drained = state.configuration.drains.has(session.target.host) || !state.listedTargets.has(session.id)
  const target: Target = drained ? { ...session.target, state: 'leaving' } : session.target
  schedule(state, { type: 'target-upserted', now, target })
}

/**
 * Writes the set of targets that owners may have used, when it lacks one.
 *
 * @example
 * commitTargets(state)
 */
export function commitTargets (state: GroupState): void {
  if (state.recovery.loadState !== 'loaded' || state.targetsCommitPending) return
  const sessions = [...state.sessions.values()]
  const missing = sessions.some((session) => !state.storedTargets.has(session.id))
  if (!missing && state.storedTargets.size === sessions.length) return
  state.targetsCommitPending = true
  const value = JSON.stringify(sessions.map((session) => session.target))
  commit(state, [{ type: 'put', key: targetsKey(state.group), value }], { type: 'targets', ids: sessions.map((session) => session.id) })
}

/**
 * Makes the group ready once its records are loaded and its targets have answered or had time to.
 *
 * @example
 * continueRecovery(state, now)
 */
export function continueRecovery (state: GroupState, now: number): void {
  const { recovery } = state
  if (recovery.loadState !== 'loaded' || !recovery.listed) return
  if (!recovery.ready && (allAdopted(state) || now >= recovery.acquiredAt + state.timing.recoveryGraceMs)) becomeReady(state, now)
  if (recovery.ready && !recovery.resumed && !holdsUncertainTargets(state)) resumeJobs(state, now)
}

function becomeReady (state: GroupState, now: number): void {
  state.recovery.ready = true
  const teams = new Map<string, typeof NO_RESOURCES>()
  for (const task of state.tasks.values()) {
    if (task.phase === 'waiting') continue
    const team = task.entry.work.team
    teams.set(team, add(teams.get(team) ?? NO_RESOURCES, task.entry.work.resources))
  }
  const used = [...teams].map(([team, amount]) => ({ team, amount }))
  state.outbox.push(
    { type: 'recovered', used },
    { type: 'log', level: 'info', message: 'group-ready', fields: { group: state.group, epoch: state.epoch, running: state.tasks.size, targets: state.sessions.size } }
  )
  submitAgain(state, now, state.recovery.deferred)
}

function resumeJobs (state: GroupState, now: number): void {
  state.recovery.resumed = true
  for (const entry of [...state.works.values()]) {
    if (entry.durability !== 'stored' || entry.ended || entry.cancelled) continue
    if (!entry.work.idempotent) recordLostTasks(state, now, entry)
    const remaining = remainingIndices(entry).filter((index) => !state.tasks.has(`${entry.work.id}/${index}`))
    if (remaining.length > 0) schedule(state, { type: 'work-submitted', now, work: entry.work, remaining })
  }
  submitAgain(state, now, state.recovery.held)
}

/**
 * A non-idempotent task whose start was intended and that no target lists has never run, unless a target of an earlier
 * owner has lost its results since the job was submitted.
 */
function recordLostTasks (state: GroupState, now: number, entry: WorkEntry): void {
  if (state.recovery.resultsLostUntil < entry.work.submittedAt - MEMBER_CLOCK_MARGIN_MS) return
  for (const index of entry.intents) {
    if (!isFinal(entry, index) && !state.tasks.has(formatTaskId(entry.work.id, index))) recordFinal(entry, index, 'unknown')
  }
  finishJobIfComplete(state, now, entry)
}

function submitAgain (state: GroupState, now: number, waiting: Map<string, SubmittedEvent>): void {
  const events = [...waiting.values()]
  waiting.clear()
  for (const event of events) submit(state, { ...event, now })
}

function allAdopted (state: GroupState): boolean {
  for (const session of state.sessions.values()) {
    if (session.phase === 'unlisted') return false
  }
  return state.sessions.size > 0
}

function loadTargets (state: GroupState, now: number, text: string): void {
  const targets = JSON.parse(text) as readonly Target[]
  for (const target of targets) {
    state.storedTargets.add(target.id)
    state.recovery.inheritedTargets.add(target.id)
    if (!state.sessions.has(target.id)) state.sessions.set(target.id, openSession(state, now, target))
  }
}

function loadJob (state: GroupState, entry: StoreEntry): void {
  const record = parseJobRecord(entry.value)
  if (record.isErr() || entry.key !== jobKey(state.group, record.value.work.id)) {
    state.outbox.push({ type: 'log', level: 'error', message: 'job-record-malformed', fields: { key: entry.key } })
    return
  }
  const loaded = storedWorkEntry(record.value)
  state.works.set(loaded.work.id, loaded)
  if (loaded.ended) rememberEnded(state, loaded)
}

function openSession (state: GroupState, now: number, target: Target): TargetSession {
  const { group, epoch, timing } = state
  return TargetSession.create({ target, group, epoch, timing, now })
}
