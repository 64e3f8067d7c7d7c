import type { Result } from 'neverthrow'
import { NO_RESOURCES } from '../model/resources.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../ports/target-client.ts'
import { applyStartResponse } from './dispatch.ts'
import { upsertTarget } from './recovery.ts'
import { applyEndedTask, applyListing, confirmStart, endAttempt } from './target-reports.ts'
import { applySchedulerEvent } from './apply-scheduler-event.ts'
import type { GroupState, PendingCall } from './state.ts'
import type { TargetSession } from './target-session.ts'

/**
 * Handles the response of a target to a call, or the failure of the call.
 *
 * @example
 * handleTargetResponse(state, now, callId, result)
 */
export function handleTargetResponse (state: GroupState, now: number, callId: string, result: Result<TargetResponse, TargetFailure>): void {
  const pending = state.pendingCalls.get(callId)
  if (pending === undefined) return
  state.pendingCalls.delete(callId)
  const session = state.sessions.get(pending.targetId)
  if (session === undefined) return
  if (result.isErr()) state.outbox.push({ type: 'count', counter: 'target-call-failed', reason: result.error.reason })
  switch (pending.type) {
    case 'renewal': return handleRenewalResponse(state, now, session, pending.call, result)
    case 'start': return handleStartResponse(state, now, session, pending, result)
    case 'control':
  }
}

/**
 * Ends all tasks of a target whose task lease has definitely lapsed and removes the target from the scheduler.
 *
 * @example
 * handleTargetLoss(state, now, session)
 */
export function handleTargetLoss (state: GroupState, now: number, session: TargetSession): void {
  state.outbox.push({ type: 'log', level: 'warn', message: 'target-lost', fields: { target: session.id, group: state.group } })
  if (session.neverAdopted && state.recovery.inheritedTargets.has(session.id)) state.recovery.resultsLostBefore = state.recovery.acquiredAt
  applySchedulerEvent(state, { type: 'target-removed', now, targetId: session.id })
  for (const taskId of [...(state.tasksByTarget.get(session.id) ?? [])]) {
    const task = state.tasks.get(taskId)
    if (task === undefined || task.phase === 'waiting') continue
    const mayHaveRun = task.phase === 'running' || task.startAmbiguous || task.startInFlight
    endAttempt(state, now, task, mayHaveRun ? 'lost' : 'not-started', undefined)
  }
  state.tasksByTarget.delete(session.id)
  if (!state.listedTargets.has(session.id)) {
    state.sessions.delete(session.id)
  }
}

function handleRenewalResponse (state: GroupState, now: number, session: TargetSession, call: TargetCall, result: Result<TargetResponse, TargetFailure>): void {
  if (result.isErr()) {
    session.recordFailure(now, result.error)
    return
  }
  const response = result.value
  if (response.type === 'adopt' && call.type === 'adopt' && call.lease === session.leaseNumber) handleAdoption(state, now, session, response)
  if (response.type === 'sync' && call.type === 'sync' && call.lease === session.leaseNumber) {
    session.recordSync(now, response, call.acknowledged)
    for (const ended of response.ended) applyEndedTask(state, now, session, ended)
    applySchedulerEvent(state, { type: 'usage-reported', now, targetId: session.id, usage: response.usage })
  }
}

function handleAdoption (state: GroupState, now: number, session: TargetSession, response: Extract<TargetResponse, { type: 'adopt' }>): void {
  const isFirstAdoption = session.phase === 'unlisted'
  session.recordAdoption(now, response)
  session.updateTarget({ ...session.target, capacity: response.capacity })
  if (isFirstAdoption && state.recovery.inheritedTargets.has(session.id)) recordLostResults(state, now, response.upMs)
  // The scheduler must not see capacity as free that tasks of a previous owner use.
  if (isFirstAdoption) addTargetWithoutCapacity(state, now, session)
  applyListing(state, now, session, response)
  upsertTarget(state, now, session)
}

/** Adds the target to the scheduler without capacity, so that listed tasks can be booked on it but none can start. */
function addTargetWithoutCapacity (state: GroupState, now: number, session: TargetSession): void {
  const { target } = session
  session.updateTarget({ ...target, capacity: NO_RESOURCES })
  upsertTarget(state, now, session)
  session.updateTarget(target)
}

/** Records that results of a previous owner's tasks that ended before the last restart of the target are lost. */
function recordLostResults (state: GroupState, now: number, upMs: number): void {
  state.recovery.resultsLostBefore = Math.max(state.recovery.resultsLostBefore, now - upMs)
}

function handleStartResponse (
  state: GroupState,
  now: number,
  session: TargetSession,
  pending: Extract<PendingCall, { type: 'start' }>,
  result: Result<TargetResponse, TargetFailure>
): void {
  const task = state.tasks.get(pending.taskId)
  const isCurrent = task !== undefined && task.phase === 'starting' && task.attempt === pending.attempt && task.targetId === session.id
  if (!isCurrent) return
  const startResult = applyStartResponse(state, now, task, session, result)
  if (startResult.type === 'started') confirmStart(state, now, task)
  if (startResult.type === 'not-started') endAttempt(state, now, task, 'not-started', undefined)
}
