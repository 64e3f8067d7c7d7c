import { taskIdOf } from '../model/ids.ts'
import type { Work } from '../model/work.ts'
import type { Cell } from './scheduler-state.ts'
import { runMs } from './family.ts'
import { refuse } from './work-events.ts'

/** Late requests dropped with one event; the rest follows with the next events. */
const SHED_PER_EVENT = 64

/** Latest time at which a start of the request still meets its deadline; undefined for other work. */
export function latestStart (cell: Cell, work: Work): number | undefined {
  return work.kind === 'request' ? work.deadlineAt - runMs(cell, work) : undefined
}

/** Drops waiting requests whose deadline has passed or cannot be met any more. */
export function shedLate (cell: Cell): void {
  for (let left = SHED_PER_EVENT; left > 0 && cell.deadlines.topKey() < cell.now; left -= 1) {
    const job = cell.deadlines.top()!
    const { work } = job
    cell.dequeue(job)
    cell.changeWaiting(job, -job.pending)
    job.pending = 0
    const passed = work.kind === 'request' && work.deadlineAt <= cell.now
    const refusal = passed ? { reason: 'deadline-passed' as const } : { reason: 'deadline-unreachable' as const, retryAfterMs: 0 }
    // A request that was started before may have run; only work that never started is refused as a whole.
    if (job.started) cell.emit({ type: 'give-up', taskId: taskIdOf(work.id, 0), refusal })
    else refuse(cell, work.id, refusal)
    cell.dropJobWhenEnded(job)
  }
}
