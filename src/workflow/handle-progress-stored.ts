import type { CellState } from './cell-state.ts'
import type { CellEvent } from './event.ts'
import { toHeldJob } from './held-jobs.ts'

type ProgressStored = Extract<CellEvent, { type: 'progress-stored' }>

/** Shows callers the phases that are stored, releases ended jobs, and lets targets forget the stored completions. */
export function handleProgressStored (state: CellState, { phases, released, completions }: ProgressStored): void {
  showPhases(state, phases)
  releaseJobs(state, released)
  acknowledgeCompletions(state, completions)
}

function showPhases (state: CellState, phases: ProgressStored['phases']): void {
  for (const [id, phase] of phases) {
    const job = state.jobs.get(id)
    if (job !== undefined) job.visiblePhase = phase
  }
}

function releaseJobs (state: CellState, released: ProgressStored['released']): void {
  for (const id of released) {
    const job = state.jobs.get(id)
    if (job === undefined) continue
    state.jobs.delete(id)
    state.heldJobs.remove(toHeldJob(job.definition))
    state.endedJobs.set(id, { phase: job.phase, endedAt: job.endedAt ?? state.now })
  }
}

/** A completion of the incarnation before has a number of that incarnation. */
function acknowledgeCompletions (state: CellState, completions: ProgressStored['completions']): void {
  for (const { target: id, incarnation, lastNumber } of completions) {
    const target = state.targets.get(id)
    if (target?.entry.incarnation === incarnation) target.lastAcknowledged = Math.max(target.lastAcknowledged, lastNumber)
  }
}
