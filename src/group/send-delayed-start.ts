import { sendStart } from './dispatch.ts'
import { endAttempt } from './target-reports.ts'
import type { GroupState } from './state.ts'
import type { TargetSession } from './target-session.ts'
import type { TaskEntry } from './work-entry.ts'

/**
 * Sends a start later than it was decided, if the target may still be used. Otherwise a start that was never sent goes
 * back to the scheduler, and the outcome of one that was sent is settled by adopting the target again: repeating it could
 * start work on a leaving target or in a failure domain that is out.
 *
 * @example
 * repeatStart(state, now, task)
 */
export function repeatStart (state: GroupState, now: number, task: TaskEntry): void {
  const session = task.targetId === undefined ? undefined : state.sessions.get(task.targetId)
  if (session === undefined) return
  if (isUsable(state, session)) return sendStart(state, now, task)
  if (task.firstSentAt === undefined) return endAttempt(state, now, task, 'not-started', undefined)
  if (!task.startInFlight) session.mustAdoptAgain(now)
}

function isUsable (state: GroupState, session: TargetSession): boolean {
  const { id, target } = session
  const domain = state.configuration.failureDomains.get(target.failureDomain)?.state ?? 'in'
  return domain === 'in' && target.state === 'live' && state.listedTargets.has(id) && !state.configuration.drains.has(target.host)
}
