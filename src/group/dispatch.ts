import type { Result } from 'neverthrow'
import type { TargetId, TaskId } from '../model/ids.ts'
import type { TargetResponse, TargetCall, TargetFailure, TaskAction } from '../ports/target-client.ts'
import { nextId, type GroupState, type PendingCall } from './state.ts'
import type { TargetSession } from './target-session.ts'
import type { TaskEntry } from './work-entry.ts'

/** A stop that had no effect is sent again after this time. */
const STOP_RETRY_MS = 1_000

/**
 * Sends a call to a target and remembers what it is for.
 *
 * @example
 * sendCall(state, session, call, { type: 'renewal', targetId: session.id, call })
 */
export function sendCall (state: GroupState, session: TargetSession, call: TargetCall, pending: PendingCall): void {
  const callId = nextId(state)
  state.calls.set(callId, pending)
  state.outbox.push({ type: 'target-call', callId, target: session.target, call })
}

/**
 * Sends the start of a task to its target, if the target is adopted; otherwise the tick tries again.
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
 * Asks a target to checkpoint, throttle or stop a task.
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
 * Sends the wanted stop of a task again until the target reports its end.
 *
 * @example
 * sendStop(state, now, task)
 */
export function sendStop (state: GroupState, now: number, task: TaskEntry): void {
  if (task.stop === undefined || task.targetId === undefined || task.phase === 'waiting') return
  task.stop.nextAt = now + STOP_RETRY_MS
  sendControl(state, task.targetId, task.taskId, task.stop.mode)
}

/** What the answer to a start means for the task. */
export type StartResult =
  | { readonly type: 'started' }
  | { readonly type: 'not-started' }
  /** Nothing to do now: the start is repeated, or the listing of the target tells. */
  | { readonly type: 'pending' }

/**
 * Judges the answer to a start. A refusal with the verdict `not-run` is repeated later with the same attempt number, which
 * the target deduplicates; only a refusal by the target itself ends the attempt.
 *
 * @example
 * judgeStart(state, now, task, session, result).type // 'started'
 */
export function judgeStart (
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
    return result.value.refusal === 'duplicate-ended' || task.ambiguous ? { type: 'pending' } : { type: 'not-started' }
  }
  const failure = result.error
  state.outbox.push({ type: 'count', counter: 'start-retried', reason: failure.reason })
  if (failure.verdict !== 'not-run') task.ambiguous = true
  if (failure.reason === 'unknown-lease') session.mustAdoptAgain(now)
  return { type: 'pending' }
}
