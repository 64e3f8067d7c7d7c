import { getWeight, log } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { estimateJobBytes } from './held-jobs.ts'
import type { JobDefinition, JobPhase } from './job.ts'
import { isFinalPhase } from './job.ts'

/** Number of jobs that are read from the store at the same time because there is room for them. */
const MAX_LOADING = 4

/** What is known of a job whose definition stays in the store. */
export type JobOutline = Pick<JobDefinition, 'id' | 'queue' | 'organisation' | 'submittedAtMs'> & {
  /** Whether it has a due time. */
  readonly isTimed: boolean
  /** Estimated memory that it takes once it is read. */
  readonly bytes: number
}

/**
 * Reduces the definition of a job to what is needed until it is read again.
 *
 * @example
 * toJobOutline(definition).bytes // 984200
 */
export function toJobOutline (definition: JobDefinition): JobOutline {
  const { id, queue, organisation, submittedAtMs, firstAtMs } = definition
  return { id, queue, organisation, submittedAtMs, isTimed: firstAtMs !== 0, bytes: estimateJobBytes(definition) }
}

/** A job that waits in the store until there is memory for it. */
export type DeferredJob = {
  readonly outline: JobOutline
  /** When it was accepted, on the scheduler's clock. */
  readonly acceptedAt: number
  readonly exceedsShare: boolean
  /** Whether a previous owner may have started its tasks. */
  readonly restored: boolean
  readonly phase: JobPhase
  /** Whether it must be read even without room: runs of it may exist, or it is cancelled. */
  isNeeded: boolean
  isCancelled: boolean
  isLoading: boolean
}

/**
 * Jobs that are stored and accepted, and of which the scheduler keeps an outline only. Whatever the store holds, the memory of
 * the owner has a bound: such a job is read when others have ended, or when a target lists a run of it.
 */
export class DeferredJobs {
  private readonly jobs = new Map<string, DeferredJob>()

  private constructor () {}

  /**
   * Creates an object for no jobs.
   *
   * @example
   * const deferredJobs = DeferredJobs.create()
   * deferredJobs.add(job)
   * deferredJobs.find('5c0e7a21d94b36f8')?.phase
   */
  static create (): DeferredJobs {
    return new DeferredJobs()
  }

  get size (): number {
    return this.jobs.size
  }

  /** Whether one of them must be read before the runs of previous owners are known. */
  get isOneNeeded (): boolean {
    return this.list().some(({ isNeeded }) => isNeeded)
  }

  list (): readonly DeferredJob[] {
    return [...this.jobs.values()]
  }

  find (id: string): DeferredJob | undefined {
    return this.jobs.get(id)
  }

  add (job: DeferredJob): void {
    this.jobs.set(job.outline.id, job)
  }

  remove (id: string): void {
    this.jobs.delete(id)
  }
}

/** Defers a job. One that may run on a closed target is read at once, because its task must be held back. */
export function deferJob (state: CellState, job: Omit<DeferredJob, 'isNeeded' | 'isCancelled' | 'isLoading'>): void {
  const { outline } = job
  state.deferredJobs.add({ ...job, isNeeded: mayRunOnClosedTarget(state, outline.id), isCancelled: false, isLoading: false })
  state.heldJobs.addDeferred(outline.bytes)
  log(state, 'info', 'job-deferred', { job: outline.id, bytes: outline.bytes, restored: job.restored, phase: job.phase })
}

/** Reads deferred jobs: those that are needed, and others as far as there is room, once no previous owner's run of them can exist. */
export function loadDeferredJobs (state: CellState): void {
  if (state.deferredJobs.size === 0) return
  const waiting = state.deferredJobs.list().filter(({ isLoading }) => !isLoading)
  for (const job of waiting.filter(({ isNeeded }) => isNeeded)) load(state, job)
  if (state.earlierRunsPossible) return
  let loading = state.deferredJobs.list().filter(({ isLoading }) => isLoading).length
  const fitting = waiting.filter(({ isNeeded, outline }) => !isNeeded && state.heldJobs.fits(outline.bytes))
  for (const job of sortByPrecedence(state, fitting)) {
    if (loading >= MAX_LOADING) return
    if (!state.heldJobs.fits(job.outline.bytes)) continue
    loading += 1
    load(state, job)
  }
}

/** Reads deferred jobs at once, whether there is room for them or not. */
export function needDeferredJobs (state: CellState, ids: readonly string[]): void {
  for (const id of ids) {
    const job = state.deferredJobs.find(id)
    if (job !== undefined) job.isNeeded = true
  }
  loadDeferredJobs(state)
}

/** Phase of a deferred job as callers may see it; undefined if there is none with this id. */
export function getDeferredPhase ({ deferredJobs }: CellState, id: string): JobPhase | undefined {
  const job = deferredJobs.find(id)
  return job?.isCancelled === true && !isFinalPhase(job.phase) ? 'cancelled' : job?.phase
}

/** Removes a deferred job that was read, or that is not there; undefined if it was not deferred. */
export function takeDeferredJob (state: CellState, id: string): DeferredJob | undefined {
  const job = state.deferredJobs.find(id)
  if (job === undefined) return undefined
  state.deferredJobs.remove(id)
  if (job.isLoading) state.heldJobs.remove(job.outline)
  else state.heldJobs.removeDeferred(job.outline.bytes)
  return job
}

/** Room is taken from the request on, so that not too many jobs are under way. */
function load (state: CellState, job: DeferredJob): void {
  job.isLoading = true
  state.heldJobs.removeDeferred(job.outline.bytes)
  state.heldJobs.add(job.outline)
  state.effects.push({ type: 'load-job', job: job.outline.id })
}

/** Jobs of queues of higher priority come first, then those of organisations whose jobs take less memory for their weight, then the oldest ones. */
function sortByPrecedence (state: CellState, jobs: readonly DeferredJob[]): readonly DeferredJob[] {
  const getPriority = ({ outline }: DeferredJob): number => state.queues.find(outline.queue)?.priority ?? Infinity
  const getUsed = ({ outline: { organisation } }: DeferredJob): number => computeShare(state.heldJobs.getHeldBytesOf(organisation), getWeight(state, organisation))
  return [...jobs].sort((left, right) => compare(getPriority(left), getPriority(right)) || compare(getUsed(left), getUsed(right)) || left.outline.submittedAtMs - right.outline.submittedAtMs)
}

/** The work of organisations without a weight waits behind all other work. */
function computeShare (bytes: number, weight: number): number {
  return weight > 0 ? bytes / weight : Infinity
}

function compare (left: number, right: number): number {
  return left === right ? 0 : left - right
}

function mayRunOnClosedTarget ({ closedTargets }: CellState, id: string): boolean {
  return [...closedTargets.values()].some((tasks) => [...tasks].some((task) => task.startsWith(`${id}.`)))
}
