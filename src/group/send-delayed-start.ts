import { sendStart } from './dispatch.ts'
import { endAttempt } from './target-reports.ts'
import type { GroupState } from './state.ts'
import type { TargetSession } from './target-session.ts'
import type { TaskEntry } from './work-entry.ts'

/**
 * Sends a start some time after the scheduler decided it, if the target may still be used. Otherwise a task whose start
 * was never sent goes back to the scheduler. If the start was sent, the target is adopted again, which shows whether the
 * task runs: a repeated start could run work on a leaving target or in a failure domain that is out.
 *
 * @example
 * sendDelayedStart(state, now, task)
 */
export function sendDelayedStart (state: GroupState, now: number, task: TaskEntry): void {
  const session = task.targetId === undefined ? undefined : state.sessions.get(task.targetId)
  if (session === undefined) return
  if (isTargetUsable(state, session)) return sendStart(state, now, task)
  if (task.firstSentAt === undefined) return endAttempt(state, now, task, 'not-started', undefined)
  if (!task.startInFlight) session.invalidateLease(now)
}

function isTargetUsable (state: GroupState, session: TargetSession): boolean {
  const { id, target } = session
  const domainState = state.configuration.failureDomains.get(target.failureDomain)?.state ?? 'in'
  return domainState === 'in' && target.state === 'live' && state.listedTargets.has(id) && !state.configuration.drains.has(target.host)
}
