import { formatTaskId } from '../model/ids.ts'
import type { Work } from '../model/work.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { estimateRunMs } from './family.ts'
import { refuseWork } from './work-events.ts'

/** Maximum number of late requests removed per event; the others follow with the next events. */
const MAX_SHED_PER_EVENT = 64

/** Returns the latest time at which a started request can still meet its deadline; undefined for other work. */
export function getLatestStartTime (state: SchedulerState, work: Work): number | undefined {
  return work.kind === 'request' ? work.deadlineAt - estimateRunMs(state, work) : undefined
}

/** Removes waiting requests whose deadline has passed or can no longer be met. */
export function shedLateRequests (state: SchedulerState): void {
  for (let remaining = MAX_SHED_PER_EVENT; remaining > 0 && state.requestsByLatestStart.topKey() < state.now; remaining -= 1) {
    const job = state.requestsByLatestStart.top()!
    const { work } = job
    state.dequeue(job)
    state.changeWaiting(job, -job.pendingCount)
    job.pendingCount = 0
    const passed = work.kind === 'request' && work.deadlineAt <= state.now
    const refusal = passed ? { reason: 'deadline-passed' as const } : { reason: 'deadline-unreachable' as const, retryAfterMs: 0 }
    // A request that was started before may have run, so it is given up; a refusal would state that it never ran.
    if (job.mayHaveRun) state.emit({ type: 'give-up', taskId: formatTaskId(work.id, 0), refusal })
    else refuseWork(state, work.id, refusal)
    state.removeJobIfEnded(job)
  }
}
