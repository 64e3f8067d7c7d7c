import type { Result } from 'neverthrow'
import type { TargetId, TaskId } from '../model/ids.ts'
import type { TargetResponse, TargetCall, TargetFailure, TaskAction } from '../ports/target-client.ts'
import { nextId, type GroupState, type PendingCall } from './state.ts'
import type { TargetSession } from './target-session.ts'
import type { TaskEntry } from './work-entry.ts'

/** Delay after which a stop is sent again if the task has not ended. */
const STOP_RETRY_DELAY_MS = 1_000

/**
 * Sends a call to a target and records its purpose for the response.
 *
 * @example
 * sendCall(state, session, call, { type: 'renewal', targetId: session.id, call })
 */
export function sendCall (state: GroupState, session: TargetSession, call: TargetCall, pending: PendingCall): void {
  const callId = nextId(state)
  state.pendingCalls.set(callId, pending)
  state.outbox.push({ type: 'target-call', callId, target: session.target, call })
}

/**
 * Sends the start of a task to its target if the target is adopted; otherwise a later tick tries again.
 *
 * @example
 * sendStart(state, now, task)
 */
export function sendStart (state: GroupState, now: number, task: TaskEntry): void {
  const session = task.targetId === undefined ? undefined : state.sessions.get(task.targetId)
  task.nextStartAt = now + state.timing.retryMs
  if (session === undefined || session.phase !== 'adopted' || task.startInFlight) return
  task.startInFlight = true
  task.firstSentAt ??= now
  const { group, epoch } = state
  const { taskId, attempt, entry } = task
  const lease = session.leaseNumber
  sendCall(state, session,
    { type: 'start', group, epoch, lease, taskId, attempt, work: entry.work },
    { type: 'start', targetId: session.id, taskId, attempt, lease })
}

/**
 * Sends a command to checkpoint, throttle or stop a task to its target.
 *
 * @example
 * sendControl(state, 'target-7', 'g3-01h8/0', 'throttle')
 */
export function sendControl (state: GroupState, targetId: TargetId, taskId: TaskId, action: TaskAction): void {
  const session = state.sessions.get(targetId)
  if (session === undefined || session.phase !== 'adopted') return
  const { group, epoch } = state
  sendCall(state, session,
    { type: 'control', group, epoch, lease: session.leaseNumber, taskId, action },
    { type: 'control', targetId, taskId })
}

/**
 * Sends the requested stop of a task; the tick repeats it until the target reports that the task has ended.
 *
 * @example
 * sendStop(state, now, task)
 */
export function sendStop (state: GroupState, now: number, task: TaskEntry): void {
  if (task.stop === undefined || task.targetId === undefined || task.phase === 'waiting') return
  task.stop.nextAt = now + STOP_RETRY_DELAY_MS
  sendControl(state, task.targetId, task.taskId, task.stop.mode)
}

/** What the response to a start means for the task. */
export type StartResult =
  | { readonly type: 'started' }
  | { readonly type: 'not-started' }
  /** The outcome is open: the start is repeated, or the next listing of the target shows it. */
  | { readonly type: 'pending' }

/**
 * Applies the response to a start and returns what it means for the task. A start that failed with the verdict `not-run`
 * is repeated later with the same attempt number, which the target deduplicates; only a refusal by the target itself ends
 * the attempt.
 *
 * @example
 * applyStartResponse(state, now, task, session, result).type // 'started'
 */
export function applyStartResponse (
  state: GroupState,
  now: number,
  task: TaskEntry,
  session: TargetSession,
  result: Result<TargetResponse, TargetFailure>
): StartResult {
  task.startInFlight = false
  if (result.isOk()) {
    if (result.value.type !== 'start') return { type: 'pending' }
    if (result.value.started) return { type: 'started' }
    state.outbox.push({ type: 'count', counter: 'start-refused', reason: result.value.refusal ?? 'no-room' })
    return result.value.refusal === 'duplicate-ended' || task.startAmbiguous ? { type: 'pending' } : { type: 'not-started' }
  }
  const failure = result.error
  state.outbox.push({ type: 'count', counter: 'start-retried', reason: failure.reason })
  if (failure.verdict !== 'not-run') task.startAmbiguous = true
  if (failure.reason === 'unknown-lease') session.invalidateLease(now)
  return { type: 'pending' }
}
