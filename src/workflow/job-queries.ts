import type { CellState } from './cell-state.ts'
import { getDeferredPhase } from './deferred-jobs.ts'
import type { JobPhase } from './job.ts'
import { isReleasable } from './jobs.ts'
import type { JobProgress } from './progress-record.ts'
import { toJobProgress } from './progress-record.ts'
import type { TargetListing } from './target-entry.ts'

/** Phase of a job as callers may see it: `completed` or `failed` only once that is stored. Undefined if the job is unknown. */
export function getVisiblePhase (state: CellState, id: string): JobPhase | undefined {
  const job = state.jobs.get(id)
  if (job === undefined) return getDeferredPhase(state, id) ?? state.endedJobs.get(id)?.phase
  return job.active || job.phase === 'cancelled' ? job.phase : job.visiblePhase
}

/** Whether a new owner would need the definition of a job: the job is active, or runs of it are still being stopped. */
export function needsDefinition ({ jobs }: CellState, id: string): boolean {
  const job = jobs.get(id)
  return job === undefined || !isReleasable(job)
}

/** The progress of a job, as it is stored; undefined if the job is deferred or unknown. */
export function getProgress ({ jobs }: CellState, id: string): JobProgress | undefined {
  const job = jobs.get(id)
  return job === undefined ? undefined : toJobProgress(job)
}

/** Counts the untimed jobs of each queue that have not started any task. */
export function countQueuedJobsByQueue ({ jobs, deferredJobs }: CellState): Readonly<Record<string, number>> {
  const held = [...jobs.values()].filter(({ definition, phase }) => phase === 'queued' && definition.firstAtMs === 0).map(({ definition }) => definition)
  const deferred = deferredJobs.list().filter(({ outline, phase, isCancelled }) => phase === 'queued' && !outline.isTimed && !isCancelled).map(({ outline }) => outline)
  const counts: Record<string, number> = {}
  for (const { queue } of [...held, ...deferred]) counts[queue] = (counts[queue] ?? 0) + 1
  return counts
}

/** The deferred jobs that a listing names. They must be read before the listing can be handled. */
export function findDeferredJobs ({ deferredJobs }: CellState, { running, ended }: TargetListing): readonly string[] {
  if (deferredJobs.size === 0) return []
  const ids = new Set([...running, ...ended].map(({ task }) => task.slice(0, task.indexOf('.'))))
  return [...ids].filter((id) => deferredJobs.find(id) !== undefined)
}
