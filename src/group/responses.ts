import type { SubmissionResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { Verdict } from '../model/verdict.ts'
import type { GroupState } from './state.ts'
import type { WorkEntry } from './work-entry.ts'

/**
 * Gives the final answer of a request, or the acceptance of a job, to every waiting caller.
 *
 * @example
 * answerAll(state, entry, { type: 'succeeded', output: 3 })
 */
export function answerAll (state: GroupState, entry: WorkEntry, answer: SubmissionResponse): void {
  entry.answer = answer
  for (const nonce of entry.submitters.keys()) sendAnswer(state, entry, nonce)
}

/**
 * Sends the known answer to one waiting caller.
 *
 * @example
 * sendAnswer(state, entry, nonce)
 */
export function sendAnswer (state: GroupState, entry: WorkEntry, nonce: string): void {
  const to = entry.submitters.get(nonce)
  if (to === undefined || entry.answer === undefined) return
  state.outbox.push({ type: 'send', to, message: { type: 'answer', work: entry.work.id, epoch: state.epoch, nonce, answer: entry.answer } })
}

/**
 * Refuses work with a verdict, to every waiting caller, and counts the reason.
 *
 * @example
 * refuseAll(state, entry, { reason: 'cancelled' })
 */
export function refuseAll (state: GroupState, entry: WorkEntry, refusal: Refusal): void {
  const verdict: Verdict = entry.mayHaveRun || hasSentStart(state, entry) ? 'may-have-run' : 'not-run'
  state.outbox.push({ type: 'count', counter: 'refused', reason: refusal.reason })
  answerAll(state, entry, { type: 'refused', refusal, verdict })
}

/**
 * Refuses one submission of which the group keeps nothing.
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

/** A start whose outcome is not known yet. */
function hasSentStart (state: GroupState, entry: WorkEntry): boolean {
  for (const taskId of entry.active) {
    const task = state.tasks.get(taskId)
    if (task !== undefined && task.phase !== 'waiting' && task.firstSentAt !== undefined) return true
  }
  return false
}
