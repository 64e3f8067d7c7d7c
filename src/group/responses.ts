import type { SubmissionResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { Verdict } from '../model/verdict.ts'
import type { GroupState } from './state.ts'
import type { WorkEntry } from './work-entry.ts'

/**
 * Sends the final response to a request, or the acceptance of a job, to all waiting callers.
 *
 * @example
 * respondToAll(state, entry, { type: 'succeeded', output: 3 })
 */
export function respondToAll (state: GroupState, entry: WorkEntry, response: SubmissionResponse): void {
  entry.response = response
  for (const nonce of entry.submitters.keys()) sendResponse(state, entry, nonce)
}

/**
 * Sends the stored response to one waiting caller; does nothing while there is no response yet.
 *
 * @example
 * sendResponse(state, entry, nonce)
 */
export function sendResponse (state: GroupState, entry: WorkEntry, nonce: string): void {
  const to = entry.submitters.get(nonce)
  if (to === undefined || entry.response === undefined) return
  state.outbox.push({ type: 'send', to, message: { type: 'answer', work: entry.work.id, epoch: state.epoch, nonce, answer: entry.response } })
}

/**
 * Sends a refusal with its verdict to all waiting callers and counts the reason.
 *
 * @example
 * refuseWork(state, entry, { reason: 'cancelled' })
 */
export function refuseWork (state: GroupState, entry: WorkEntry, refusal: Refusal): void {
  const verdict: Verdict = entry.mayHaveRun || hasSentStart(state, entry) ? 'may-have-run' : 'not-run'
  state.outbox.push({ type: 'count', counter: 'refused', reason: refusal.reason })
  respondToAll(state, entry, { type: 'refused', refusal, verdict })
}

/**
 * Refuses one submission for which the group keeps no entry.
 *
 * @example
 * refuseSubmission(state, event, { reason: 'deadline-passed' }, 'not-run')
 */
export function refuseSubmission (
  state: GroupState,
  submission: { readonly from: string, readonly nonce: string, readonly work: { readonly id: string } },
  refusal: Refusal,
  verdict: Verdict
): void {
  const { from, nonce, work } = submission
  state.outbox.push(
    { type: 'count', counter: 'refused', reason: refusal.reason },
    { type: 'send', to: from, message: { type: 'answer', work: work.id, epoch: state.epoch, nonce, answer: { type: 'refused', refusal, verdict } } }
  )
}

/** Whether a start of a task was sent whose outcome is not known yet. */
function hasSentStart (state: GroupState, entry: WorkEntry): boolean {
  for (const taskId of entry.activeTasks) {
    const task = state.tasks.get(taskId)
    if (task !== undefined && task.phase !== 'waiting' && task.firstSentAt !== undefined) return true
  }
  return false
}
