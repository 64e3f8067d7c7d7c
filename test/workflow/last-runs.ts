/** The last run of a task that has ended, and how: as its target reports it, or because the target ended. */
export type LastRun = { readonly run: number, readonly target: string, readonly end: string, readonly endedAt: number }

/** A time without a run of a task, between its last run and the next one. */
export type Gap = { readonly task: string, readonly lastRun: LastRun, readonly startedAt: number }

/** The last runs of tasks, as their targets know them, and the gaps between them. */
export class LastRuns {
  readonly gaps: Gap[] = []
  private readonly lastRuns = new Map<string, LastRun>()

  private constructor () {}

  static create (): LastRuns {
    return new LastRuns()
  }

  /** Records the start of a run. */
  recordStart (task: string, startedAt: number): void {
    const lastRun = this.lastRuns.get(task)
    if (lastRun !== undefined) this.gaps.push({ task, lastRun, startedAt })
  }

  recordEnd (task: string, lastRun: LastRun): void {
    this.lastRuns.set(task, lastRun)
  }

  /** Records that the runs of a target ended with it. */
  recordLoss (runs: Iterable<{ readonly task: string, readonly run: number }>, end: Omit<LastRun, 'run'>): void {
    for (const { task, run } of runs) this.recordEnd(task, { ...end, run })
  }

  find (task: string): LastRun | undefined {
    return this.lastRuns.get(task)
  }

  /** When a run of the job last ended; undefined if none has. */
  findLastEndOf (job: string): number | undefined {
    const ends = [...this.lastRuns].filter(([task]) => task.startsWith(`${job}.`)).map(([, { endedAt }]) => endedAt)
    return ends.length === 0 ? undefined : Math.max(...ends)
  }
}
