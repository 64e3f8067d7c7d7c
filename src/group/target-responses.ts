import type { Result } from 'neverthrow'
import { NO_RESOURCES } from '../model/resources.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../ports/target-client.ts'
import { judgeStart } from './dispatch.ts'
import { upsertTarget } from './recovery.ts'
import { applyEnded, applyListing, confirmStart, endAttempt } from './target-reports.ts'
import { schedule } from './apply-scheduler-event.ts'
import type { GroupState, PendingCall } from './state.ts'
import type { TargetSession } from './target-session.ts'

/**
 * Applies the answer of a target, or its absence, to the call that it belongs to.
 *
 * @example
 * answerTargetCall(state, now, callId, result)
 */
export function answerTargetCall (state: GroupState, now: number, callId: string, result: Result<TargetResponse, TargetFailure>): void {
  const pending = state.calls.get(callId)
  if (pending === undefined) return
  state.calls.delete(callId)
  const session = state.sessions.get(pending.targetId)
  if (session === undefined) return
  if (result.isErr()) state.outbox.push({ type: 'count', counter: 'target-call-failed', reason: result.error.reason })
  switch (pending.type) {
    case 'renewal': return answerRenewal(state, now, session, pending.call, result)
    case 'start': return answerStart(state, now, session, pending, result)
    case 'control':
  }
}

/**
 * Ends every task of a target whose task lease has certainly lapsed, and takes the target from the scheduler.
 *
 * @example
 * loseTarget(state, now, session)
 */
export function loseTarget (state: GroupState, now: number, session: TargetSession): void {
  state.outbox.push({ type: 'log', level: 'warn', message: 'target-lost', fields: { target: session.id, group: state.group } })
  if (session.neverAdopted && state.recovery.inheritedTargets.has(session.id)) state.recovery.resultsLostUntil = state.recovery.acquiredAt
  schedule(state, { type: 'target-removed', now, targetId: session.id })
  for (const taskId of [...(state.tasksByTarget.get(session.id) ?? [])]) {
    const task = state.tasks.get(taskId)
    if (task === undefined || task.phase === 'waiting') continue
    const started = task.phase === 'running' || task.ambiguous || task.startInFlight
    endAttempt(state, now, task, started ? 'lost' : 'not-started', undefined)
  }
  state.tasksByTarget.delete(session.id)
  if (!state.listedTargets.has(session.id)) {
    state.sessions.delete(session.id)
  }
}

function answerRenewal (state: GroupState, now: number, session: TargetSession, call: TargetCall, result: Result<TargetResponse, TargetFailure>): void {
  if (result.isErr()) {
    session.failed(now, result.error)
    return
  }
  const answer = result.value
  if (answer.type === 'adopt' && call.type === 'adopt' && call.lease === session.leaseNumber) adopt(state, now, session, answer)
  if (answer.type === 'sync' && call.type === 'sync' && call.lease === session.leaseNumber) {
    session.synced(now, answer, call.acknowledged)
    for (const ended of answer.ended) applyEnded(state, now, session, ended)
    schedule(state, { type: 'usage-reported', now, targetId: session.id, usage: answer.usage })
  }
}

function adopt (state: GroupState, now: number, session: TargetSession, answer: Extract<TargetResponse, { type: 'adopt' }>): void {
  const firstTime = session.phase === 'unlisted'
  session.adopted(now, answer)
  session.describe({ ...session.target, capacity: answer.capacity })
  if (firstTime && state.recovery.inheritedTargets.has(session.id)) noteLostResults(state, now, answer.upMs)
  // The scheduler must not see room that tasks of an earlier owner use.
  if (firstTime) announceTarget(state, now, session)
  applyListing(state, now, session, answer)
  upsertTarget(state, now, session)
}

/** Tells the scheduler of a target without capacity, on which listed tasks can be booked but none can start. */
function announceTarget (state: GroupState, now: number, session: TargetSession): void {
  const { target } = session
  session.describe({ ...target, capacity: NO_RESOURCES })
  upsertTarget(state, now, session)
  session.describe(target)
}

/** Results of an earlier owner's tasks that ended before the target's last restart are lost. */
function noteLostResults (state: GroupState, now: number, upMs: number): void {
  state.recovery.resultsLostUntil = Math.max(state.recovery.resultsLostUntil, now - upMs)
}

function answerStart (
  state: GroupState,
  now: number,
  session: TargetSession,
  pending: Extract<PendingCall, { type: 'start' }>,
  result: Result<TargetResponse, TargetFailure>
): void {
  const task = state.tasks.get(pending.taskId)
  const current = task !== undefined && task.phase === 'starting' && task.attempt === pending.attempt && task.targetId === session.id
  if (!current) return
  const judged = judgeStart(state, now, task, session, result)
  if (judged.type === 'started') confirmStart(state, now, task)
  if (judged.type === 'not-started') endAttempt(state, now, task, 'not-started', undefined)
}
