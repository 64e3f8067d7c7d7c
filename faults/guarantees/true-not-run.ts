import { groupBy } from '../group-by.ts'
import { filterByType, type History, type ObservationOf } from '../history.ts'
import type { Violation } from '../violation.ts'

type Sent = ObservationOf<'caller-sent'>
type Answered = ObservationOf<'caller-answered'>

/**
 * Guarantee 7: work that is answered with `not-run` is never started, neither before nor after the answer. Calls that
 * repeat a request share its token, so a start is a violation only if every call that can have caused it was answered
 * with `not-run`.
 */
export function checkNotRunVerdicts (history: History): readonly Violation[] {
  const calls = groupBy(filterByType(history, 'caller-sent'), (sent) => sent.token)
  const answers = new Map(filterByType(history, 'caller-answered').map((answered) => [answered.call, answered]))
  return filterByType(history, 'task-started').flatMap((start) => {
    const senders = (calls.get(start.token) ?? []).filter((sent) => sent.at <= start.at)
    const notRunAnswers = senders.flatMap((sent) => findNotRunAnswer(sent, answers))
    if (senders.length === 0 || notRunAnswers.length < senders.length) return []
    return [{ guarantee: 7, detail: `task ${start.taskId} of ${start.token} started although its calls were answered with not-run`, evidence: [...senders, ...notRunAnswers, start] }]
  })
}

function findNotRunAnswer (sent: Sent, answers: ReadonlyMap<string, Answered>): readonly Answered[] {
  const answered = answers.get(sent.call)
  if (answered === undefined) return []
  const { answer } = answered
  return 'verdict' in answer && answer.verdict === 'not-run' ? [answered] : []
}
