import { isDeepStrictEqual } from 'node:util'
import { groupBy } from '../group-by.ts'
import { getEndTime, filterByType, type History, type ObservationOf } from '../history.ts'
import type { Violation } from '../violation.ts'

/**
 * Time after the deadline within which a call must be answered. The outcome on a lost target is certain only after the
 * task lease of 20 s has expired, and a takeover of the group may come before that.
 */
export const ANSWER_GRACE_MS = 45_000

type Sent = ObservationOf<'caller-sent'>
type Answered = ObservationOf<'caller-answered'>

/** Guarantee 6: each call gets exactly one answer, and a result is the complete output of its own request. */
export function checkCallAnswers (history: History): readonly Violation[] {
  const answers = groupBy(filterByType(history, 'caller-answered'), (answered) => answered.call)
  const disconnected = new Set(filterByType(history, 'caller-disconnected').map((observation) => observation.call))
  const calls = filterByType(history, 'caller-sent')
  const sentIds = new Set(calls.map((sent) => sent.call))
  const unknownAnswers = [...answers].filter(([call]) => !sentIds.has(call))
    .map(([call, evidence]): Violation => ({ guarantee: 6, detail: `answer to the unknown call ${call}`, evidence }))
  const wrong = calls.flatMap((sent) => checkCall(history, sent, answers.get(sent.call) ?? [], disconnected.has(sent.call)))
  return [...unknownAnswers, ...wrong]
}

function checkCall (history: History, sent: Sent, answers: readonly Answered[], disconnected: boolean): readonly Violation[] {
  const evidence = [sent, ...answers]
  if (answers.length > 1) return [{ guarantee: 6, detail: `call ${sent.call} was answered ${answers.length} times`, evidence }]
  const [answered] = answers
  if (answered === undefined) return disconnected ? [] : checkUnanswered(history, sent)
  if (answered.answer.type !== 'succeeded') return []
  if (!isDeepStrictEqual(answered.answer.output, sent.expected)) {
    return [{ guarantee: 6, detail: `call ${sent.call} got ${JSON.stringify(answered.answer.output)}`, evidence }]
  }
  return hasSucceeded(history, sent, answered) ? [] : [{ guarantee: 6, detail: `call ${sent.call} succeeded but no target has run it`, evidence }]
}

function checkUnanswered (history: History, sent: Sent): readonly Violation[] {
  if (sent.deadlineAt === undefined || getEndTime(history) <= sent.deadlineAt + ANSWER_GRACE_MS) return []
  return [{ guarantee: 6, detail: `call ${sent.call} has no answer ${ANSWER_GRACE_MS} ms after its deadline`, evidence: [sent, ...history.slice(-1)] }]
}

function hasSucceeded (history: History, sent: Sent, answered: Answered): boolean {
  const taskIds = new Set(filterByType(history, 'task-started').filter((start) => start.token === sent.token).map((start) => start.taskId))
  return filterByType(history, 'task-ended').some((ended) => taskIds.has(ended.taskId) && ended.outcome.type === 'succeeded' && ended.at <= answered.at)
}
