import { CellScheduler } from '../../../src/workflow/cell-scheduler.ts'
import type { CellConfiguration } from '../../../src/workflow/settings/cell-configuration.ts'
import type { CellEvent } from '../../../src/workflow/event.ts'
import { NO_DEMAND } from '../../../src/workflow/job.ts'
import type { Demand } from '../../../src/workflow/job.ts'
import { DEFAULT_CELL_OPTIONS } from '../../../src/workflow/options.ts'
import type { CellOptions } from '../../../src/workflow/options.ts'
import type { Random } from '../../../src/util/random.ts'
import { computeCellShares } from '../../../src/workflow/past-use/cell-shares.ts'
import { CONFIGURATION, QUEUE, buildEntry, buildJob } from '../harness.ts'

const STEP_MS = 50
/** As many as can start before the next ones are submitted: the cell may become empty as a whole. */
const WAITING_TASKS = 48

/** Builds a configuration whose jobs are never late, so that only use decides their order. */
export function configureOrganisations (organisations: ReadonlyArray<{ readonly name: string, readonly weight: number }>): CellConfiguration {
  return {
    ...CONFIGURATION,
    queues: [{ ...QUEUE, latencyObjectiveMs: 1e9 }],
    organisations: organisations.map(({ name, weight }) => ({ name, keys: [], weight, maximum: NO_DEMAND }))
  }
}

/** Options of a scheduler with this half-life; 0: past use doesn't count. */
export function buildOptions (pastUseHalfLifeS: number, wallClockOffsetMs = 0): Partial<CellOptions> {
  return { wallClockOffsetMs, features: { ...DEFAULT_CELL_OPTIONS.features, pastUseHalfLifeS } }
}

/** An organisation that always has tasks that wait. */
export type Submitter = { readonly name: string, readonly weight: number, readonly demand: Demand, readonly longestRunMs: number, submittedTasks?: number }

type Run = { readonly target: string, readonly task: string, readonly run: number, readonly submitter: Submitter, readonly startedAt: number, readonly endsAt: number }

/** A full cell of one target. */
export class FullCell {
  /** By organisation, its dominant share times milliseconds. */
  readonly use = new Map<string, number>()
  /** How often an organisation had no task that waited after a start pass. */
  idlePasses = 0
  private readonly scheduler: CellScheduler
  private runs: Run[] = []
  private readonly startedTasks = new Map<string, number>()
  private readonly submittedTasks = new Map<string, number>()
  private readonly changedJobs = new Set<string>()
  private now = 1_000
  private completions = 0
  private jobs = 0

  private constructor (private readonly submitters: readonly Submitter[], private readonly capacity: Demand, private readonly random: Random, halfLifeS: number) {
    this.scheduler = CellScheduler.create(buildOptions(halfLifeS))
    this.apply({ type: 'configured', configuration: configureOrganisations(submitters) })
    this.apply({ type: 'target-published', entry: buildEntry('t1', { capacity }) })
    this.apply({ type: 'targets-stored', ids: ['t1'] })
  }

  static create (submitters: readonly Submitter[], capacity: Demand, random: Random, halfLifeS: number): FullCell {
    return new FullCell(submitters, capacity, random, halfLifeS)
  }

  /** Runs the cell and measures what each organisation uses. */
  run (durationMs: number): void {
    for (const end = this.now + durationMs; this.now < end; this.now += STEP_MS) {
      for (const submitter of this.submitters) this.submit(submitter)
      this.list()
      this.apply({ type: 'tick' })
      this.idlePasses += this.submitters.filter(({ name }) => this.countWaiting(name) <= 0).length
      this.releaseEndedJobs()
      for (const { name, demand } of this.runs.map(({ submitter }) => submitter)) {
        this.use.set(name, (this.use.get(name) ?? 0) + STEP_MS * computeCellShares(demand, this.capacity).dominant)
      }
    }
  }

  private submit ({ name, demand }: Submitter): void {
    while (this.countWaiting(name) < WAITING_TASKS) {
      const count = 1 + this.random.nextInt(3)
      this.jobs += 1
      this.submittedTasks.set(name, (this.submittedTasks.get(name) ?? 0) + count)
      this.apply({ type: 'job-accepted', definition: { ...buildJob(`${name}-${this.jobs}`, { demand, count }), organisation: name } })
    }
  }

  private countWaiting (name: string): number {
    return (this.submittedTasks.get(name) ?? 0) - (this.startedTasks.get(name) ?? 0)
  }

  /** Stores the outcomes of jobs, as a leader does. */
  private releaseEndedJobs (): void {
    const released = [...this.changedJobs].filter((id) => this.scheduler.getProgress(id)?.phase === 'completed')
    this.changedJobs.clear()
    this.apply({ type: 'progress-stored', phases: new Map(released.map((id) => [id, 'completed'])), released, completions: [] })
  }

  /** Lists the target: runs that are over have completed. */
  private list (): void {
    const ended = this.runs.filter(({ endsAt }) => endsAt <= this.now)
    this.runs = this.runs.filter(({ endsAt }) => endsAt > this.now)
    this.apply({
      type: 'target-listed',
      id: 't1',
      sentAt: this.now,
      listing: {
        incarnation: 1,
        clockMs: this.now + 60_000,
        // Without progress a run would be stopped as a straggler.
        running: this.runs.map(({ task, run, startedAt, endsAt }) => ({ task, run, checkpoint: '', percent: 100 * (this.now - startedAt) / (endsAt - startedAt), gauge: undefined })),
        ended: ended.map(({ task, run }) => ({ number: ++this.completions, task, run, outcome: 'done', checkpoint: '' }))
      }
    })
  }

  private apply (event: CellEvent): void {
    for (const effect of [...this.scheduler.apply(event, this.now), ...this.scheduler.startTasks(this.now)]) {
      if (effect.type === 'store-progress') this.changedJobs.add(effect.job)
      if (effect.type !== 'start') continue
      const { target, command: { task, run } } = effect
      const submitter = this.submitters.find(({ name }) => task.startsWith(`${name}-`))!
      this.startedTasks.set(submitter.name, (this.startedTasks.get(submitter.name) ?? 0) + 1)
      this.runs.push({ target, task, run, submitter, startedAt: this.now, endsAt: this.now + STEP_MS + this.random.next() * submitter.longestRunMs })
      this.apply({ type: 'start-answered', target, incarnation: 1, task, run, response: { type: 'accepted', clockMs: this.now } })
    }
  }
}
