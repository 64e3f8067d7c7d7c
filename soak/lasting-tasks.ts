import type { Disruptions } from './disruptions.ts'
import type { SoakStep } from './soak-jobs.ts'

/** A task that runs until its job is cancelled. */
export type LastingTask = { readonly id: string, readonly jobId: string, readonly step: SoakStep }

/** A run that has ended: its number, term and worker as a text, and how it ended. */
export type EndedRun = { readonly text: string, readonly how: string, readonly endedAtMs: number }

/** The time in which a task has no run. */
type Gap = {
  readonly task: LastingTask
  readonly lastRun: EndedRun
  /** Since when the task has been due, with room for it; undefined while one of the two is missing. */
  startableSinceMs: number | undefined
  lengthMs: number
  /** Time of the day at which the gap was found to be too long. */
  reportedAt: string | undefined
}

/** A task is due from this time after its last run. */
const DUE_AFTER_MS = 6_000
/** A task that is due must have a run within this time in which there is room for it. */
const START_TIMEOUT_MS = 3_000
/** Time without disruption before the time in which a task must start. */
const CALM_BEFORE_MS = 4_000
const MS_PER_SECOND = 1_000

/** Checks that each task that lasts has a run again in time after its last one. */
export class LastingTasks {
  private readonly gaps = new Map<string, Gap>()
  private readonly reported: Gap[] = []
  private readonly acceptedJobs = new Set<string>()
  private readonly cancelledJobs = new Set<string>()
  private longestMs = 0

  private constructor (private readonly disruptions: Disruptions, private readonly hasRoom: (task: LastingTask) => boolean) {}

  /**
   * Creates the check. `hasRoom`: whether the workers could run the task twice over.
   *
   * @example
   * const lasting = LastingTasks.create(Disruptions.create(), () => true)
   * lasting.recordAcceptance('a')
   * lasting.recordEnd({ id: 'a.0.0.0', jobId: 'a', step }, { text: 'run 1 on w1', how: 'died', endedAtMs: 0 })
   * lasting.check(6_000)
   * lasting.check(9_000)
   * lasting.breaches // ['LOST: a.0.0.0 has had no run for 9.0 s ...']
   */
  static create (disruptions: Disruptions, hasRoom: (task: LastingTask) => boolean): LastingTasks {
    return new LastingTasks(disruptions, hasRoom)
  }

  /** One text for each time in which a task had no run for too long. */
  get breaches (): readonly string[] {
    return this.reported.map(({ task, lastRun: { text, how }, lengthMs, reportedAt }) => `LOST: ${task.id} has had no run for ${(lengthMs / MS_PER_SECOND).toFixed(1)} s since ${text} ended as ${how} (${reportedAt})`)
  }

  /** The longest time for which a task of an accepted job had no run after its first one, for whatever reason. */
  get longestGapMs (): number {
    return this.longestMs
  }

  recordAcceptance (jobId: string): void {
    this.acceptedJobs.add(jobId)
  }

  /** Records that the caller begins to cancel a job. */
  recordCancellation (jobId: string): void {
    this.cancelledJobs.add(jobId)
    for (const [id, { task }] of this.gaps) if (task.jobId === jobId) this.gaps.delete(id)
  }

  recordStart (id: string, atMs: number): void {
    const gap = this.gaps.get(id)
    if (gap === undefined) return
    this.extendGap(gap, atMs)
    this.gaps.delete(id)
  }

  /** Records that the last run of a task has ended that was present. */
  recordEnd (task: LastingTask, lastRun: EndedRun): void {
    if (this.cancelledJobs.has(task.jobId)) return
    this.gaps.set(task.id, { task, lastRun, startableSinceMs: undefined, lengthMs: 0, reportedAt: undefined })
  }

  /** Must be called often, and whenever there is less room. */
  check (nowMs: number): void {
    for (const gap of this.gaps.values()) {
      this.extendGap(gap, nowMs)
      if (nowMs - gap.lastRun.endedAtMs < DUE_AFTER_MS || !this.hasRoom(gap.task)) gap.startableSinceMs = undefined
      else gap.startableSinceMs ??= nowMs
      if (this.isTooLong(gap, nowMs)) this.report(gap)
    }
  }

  private extendGap (gap: Gap, atMs: number): void {
    gap.lengthMs = atMs - gap.lastRun.endedAtMs
    if (this.acceptedJobs.has(gap.task.jobId)) this.longestMs = Math.max(this.longestMs, gap.lengthMs)
  }

  private isTooLong ({ task, startableSinceMs, reportedAt }: Gap, nowMs: number): boolean {
    if (reportedAt !== undefined || startableSinceMs === undefined || !this.acceptedJobs.has(task.jobId)) return false
    return nowMs - startableSinceMs >= START_TIMEOUT_MS && this.disruptions.isCalmSince(nowMs - START_TIMEOUT_MS - CALM_BEFORE_MS)
  }

  private report (gap: Gap): void {
    gap.reportedAt = new Date().toISOString()
    this.reported.push(gap)
  }
}
