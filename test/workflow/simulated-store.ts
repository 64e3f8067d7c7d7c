import type { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { ClosedTargets } from '../../src/workflow/takeover/closed-targets.ts'
import type { Incarnations } from '../../src/workflow/takeover/earlier-leases.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import type { JobDefinition, JobPhase } from '../../src/workflow/job.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import type { SilentTargetsById } from '../../src/workflow/takeover/silent-targets.ts'

/** What leaders have stored: the progress of jobs, and the targets that may have runs. */
export class SimulatedStore {
  /** The incarnations of targets that commands were measured for. */
  incarnations: Incarnations = {}
  /** The targets whose commands may reach later incarnations; undefined if all may. */
  unbound: readonly string[] | undefined = []
  targets: { readonly ids: readonly string[], readonly closed: ClosedTargets } = { ids: [], closed: {} }
  /** Targets that get no leases and no starts, with times on the clock that all leaders share here. */
  silentTargets: SilentTargetsById = {}
  private readonly progress = new Map<string, JobProgress>()
  /** Jobs whose definitions have been removed. */
  private readonly released = new Set<string>()

  private constructor () {}

  static create (): SimulatedStore {
    return new SimulatedStore()
  }

  getPhase (job: string): JobPhase | undefined {
    return this.progress.get(job)?.phase
  }

  /**
   * Stores the progress of all jobs; returns the event for the leader. The processed completions may be acknowledged only if
   * the progress of every changed job is stored with them.
   */
  commit (scheduler: CellScheduler, jobs: readonly string[]): CellEvent {
    for (const job of jobs) {
      const progress = scheduler.getProgress(job)
      if (progress !== undefined) this.progress.set(job, progress)
    }
    const phases = new Map<string, JobPhase>(jobs.flatMap((job) => {
      const phase = this.getPhase(job)
      return phase === undefined ? [] : [[job, phase] as const]
    }))
    const released = jobs.filter((job) => !scheduler.needsDefinition(job))
    for (const job of released) this.released.add(job)
    return { type: 'progress-stored', phases, released, completions: scheduler.getProcessedCompletions() }
  }

  /** Builds the event with which a new leader restores a job. */
  buildRestoreEvent (definition: JobDefinition): CellEvent {
    const { id } = definition
    const progress = this.progress.get(id)
    if (progress !== undefined && this.released.has(id)) return { type: 'ended-job-restored', id, phase: progress.phase }
    return { type: 'job-restored', definition, progress }
  }
}
