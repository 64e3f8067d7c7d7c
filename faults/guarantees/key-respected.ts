import { filterByType, type History, type ObservationOf } from '../history.ts'
import { possibleValues, findPublications } from '../publications.ts'
import type { Violation } from '../violation.ts'

/** Maximum time until a withdrawn key is refused. The design page says "within seconds"; this is its bound for a configuration change. */
const KEY_WITHDRAWAL_BOUND_MS = 6_000

type Sent = ObservationOf<'caller-sent'>

/** Guarantee 3: on queues with keys, work is accepted and runs only with a key of the team that is not withdrawn. */
export function checkKeyAuthorization (history: History): readonly Violation[] {
  const calls = filterByType(history, 'caller-sent')
  return [...findWronglyAccepted(history, calls), ...findWronglyRun(history, calls)]
}

function findWronglyAccepted (history: History, calls: readonly Sent[]): readonly Violation[] {
  const sentById = new Map(calls.map((sent) => [sent.call, sent]))
  return filterByType(history, 'caller-answered').flatMap((answered) => {
    const sent = sentById.get(answered.call)
    if (sent === undefined || answered.answer.type === 'refused' || mayUseQueue(history, sent)) return []
    return [{ guarantee: 3, detail: `call ${sent.call} to queue ${sent.queue} with key ${sent.key ?? 'none'} was not refused`, evidence: [sent, answered] }]
  })
}

function findWronglyRun (history: History, calls: readonly Sent[]): readonly Violation[] {
  return filterByType(history, 'task-started').flatMap((start) => {
    const senders = calls.filter((sent) => sent.token === start.token && sent.at <= start.at)
    const allowed = senders.some((sent) => mayUseQueue(history, sent) && findAllowedTeams(history, sent).includes(start.team))
    if (allowed) return []
    return [{ guarantee: 3, detail: `task ${start.taskId} of team ${start.team} has no call with a key that allows it`, evidence: [...senders, start] }]
  })
}

function mayUseQueue (history: History, sent: Sent): boolean {
  return findAllowedTeams(history, sent).length > 0
}

/** Returns the teams for which the call may be accepted; empty if the call must be refused. */
function findAllowedTeams (history: History, sent: Sent): readonly string[] {
  const queue = filterByType(history, 'queue-defined').find((defined) => defined.queue === sent.queue)
  if (queue === undefined) return []
  if (queue.open) return [queue.team]
  if (sent.key === undefined) return []
  const keys = possibleValues(findPublications(history, 'key', sent.key), sent.at, KEY_WITHDRAWAL_BOUND_MS)
  return keys.some((key) => key?.team === queue.team) ? [queue.team] : []
}
