import { filterByType, type History, type ObservationOf } from '../history.ts'
import type { Violation } from '../violation.ts'

type Sent = ObservationOf<'caller-sent'>
type Asked = ObservationOf<'member-shutdown-asked'>

/** Refusal reasons which indicate that the member or its group became unavailable. */
const INTERRUPTIONS: ReadonlySet<string> = new Set(['shutting-down', 'no-owner', 'starting-up', 'outcome-unknown'])

/**
 * Guarantee 10: a call that is open when a graceful shutdown is requested is neither disconnected nor refused because of
 * it, and the member exits only after it has answered. A member that dies before it exits did not shut down gracefully.
 */
export function checkGracefulShutdown (history: History): readonly Violation[] {
  return filterByType(history, 'member-shutdown-asked').flatMap((asked) => {
    const end = history.find((observation) => history.indexOf(observation) > history.indexOf(asked) && endsShutdown(observation, asked))
    if (end?.type === 'member-died') return []
    return filterByType(history, 'caller-sent').filter((sent) => isOpenAt(history, sent, asked)).flatMap((sent) => checkCall(history, sent, asked, end))
  })
}

function endsShutdown (observation: History[number], asked: Asked): boolean {
  return (observation.type === 'member-exited' || observation.type === 'member-died') && observation.member === asked.member
}

function isOpenAt (history: History, sent: Sent, asked: Asked): boolean {
  const moment = history.indexOf(asked)
  const end = findCallEnd(history, sent)
  return sent.member === asked.member && history.indexOf(sent) < moment && (end === undefined || history.indexOf(end) > moment)
}

function findCallEnd (history: History, sent: Sent): ObservationOf<'caller-answered'> | ObservationOf<'caller-disconnected'> | undefined {
  return history.find((observation): observation is ObservationOf<'caller-answered'> | ObservationOf<'caller-disconnected'> =>
    (observation.type === 'caller-answered' || observation.type === 'caller-disconnected') && observation.call === sent.call)
}

function checkCall (history: History, sent: Sent, asked: Asked, exited: History[number] | undefined): readonly Violation[] {
  const end = findCallEnd(history, sent)
  const reason = describeInterruption(sent, end, exited)
  if (reason === undefined) return []
  const evidence = [sent, asked, ...(end === undefined ? [] : [end]), ...(exited === undefined ? [] : [exited])]
  return [{ guarantee: 10, detail: `call ${sent.call} was interrupted by the shutdown of ${asked.member}: ${reason}`, evidence }]
}

function describeInterruption (sent: Sent, end: ReturnType<typeof findCallEnd>, exited: History[number] | undefined): string | undefined {
  if (end === undefined) return exited === undefined ? undefined : 'no answer before the exit'
  if (end.type === 'caller-disconnected') return end.cause
  const { answer } = end
  if (answer.type !== 'refused' || !INTERRUPTIONS.has(answer.refusal.reason)) return undefined
  // A call that stays open until its own deadline was not interrupted. Its outcome is unknown for another reason, such as
  // a partition between its member and the owner. The random schedule of seed 6 shows this case: partition at 42.5 s,
  // shutdown at 47.6 s, deadline at 48.7 s, answer at 50.7 s.
  const wasOverdue = sent.deadlineAt !== undefined && sent.deadlineAt <= end.at
  if (answer.refusal.reason === 'outcome-unknown' && wasOverdue) return undefined
  return `refused with ${answer.refusal.reason}`
}
