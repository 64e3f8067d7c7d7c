import { count, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import type { Job } from '../task.ts'
import { isSimilar } from './run-time-model.ts'
import type { RunTimeModel } from './run-time-model.ts'
import { RunTimeStatistics } from './run-time-statistics.ts'
import { formatRunTimes, parseRunTimes } from './run-times-record.ts'

/** The estimates of all jobs are updated at most this often, in milliseconds. */
const UPDATE_INTERVAL_MS = 1_000
/** The record is stored at most this often, in milliseconds. */
const STORE_INTERVAL_MS = 10_000
/** A queue's model is replaced when an estimate changes by more than this ratio, and logged when it does by more than the second. */
const CHANGE_RATIO = 0.02
const LOGGED_CHANGE_RATIO = 0.25
/** Queues that are remembered; the one whose last run is oldest is forgotten. */
const MAX_QUEUES = 500
/** Limits of the slowness of a target by which a run time is corrected. */
const SLOWNESS_RANGE = { min: 0.5, max: 4 } as const
/** The mean speed of the targets is computed again after this time, in milliseconds. */
const SPEED_INTERVAL_MS = 200
/** Slowness of a target on which no run has ended. */
const UNKNOWN_SLOWNESS = 1

/** Why a run is not learned from, or `learned`. */
type RunUse = 'learned' | 'adopted' | 'resumed' | 'throttled' | 'undeclared'

/**
 * How long runs take, by queue, as learned from those that ended as done. Each job has the estimate of its queue, so that a
 * start pass need not look for it. Without the feature nothing is learned and the declared times count.
 */
export class RunTimes {
  private readonly statistics = new Map<string, RunTimeStatistics>()
  private readonly models = new Map<string, RunTimeModel>()
  /** The models that were last logged. */
  private readonly logged = new Map<string, RunTimeModel>()
  /** Queues with runs since the last update. */
  private readonly changed = new Set<string>()
  /** Mean speed of the targets whose slowness is known, as the reciprocal of the slowness; only the difference to it is corrected. */
  private meanSpeed = 1
  private meanSpeedAt = -Infinity
  private updateAt = -Infinity
  private storeAt = -Infinity
  private storeNeeded = false

  private constructor (private readonly enabled: boolean) {}

  /**
   * Creates the estimates of an owner that has learned nothing.
   *
   * @example
   * const runTimes = RunTimes.create(options.features.learnedRunTimes)
   * runTimes.recordDone(state, live)
   */
  static create (enabled: boolean): RunTimes {
    return new RunTimes(enabled)
  }

  /** The estimate of a queue; undefined while too few of its runs are known. */
  getModel (queue: string): RunTimeModel | undefined {
    return this.models.get(queue)
  }

  /** Records a run that ended as done, for the slowness of its target and, if it was a whole run under this owner, for its queue. */
  recordDone (state: CellState, live: LiveRun): void {
    const { task: { step }, target } = live
    const runMs = state.now - live.startedAt
    const declaredMs = step.spec.estimatedMs
    const estimateMs = step.expectedMs
    if (this.enabled) {
      const use = findUse(live)
      count(state, 'run-time', use)
      if (use === 'learned') this.learn(step.job.definition.queue, declaredMs, this.correct(state, runMs, target.slowness), estimateMs)
    }
    target.recordDuration(runMs, estimateMs)
  }

  /** Gives a new job the estimate of its queue. */
  applyTo (job: Job): void {
    const model = this.models.get(job.definition.queue)
    if (model !== undefined) job.applyRunTimeModel(model)
  }

  /** Updates the estimates of the jobs and stores what was learned, where that is due. */
  update (state: CellState): void {
    if (!this.enabled || state.now < this.updateAt) return
    this.updateAt = state.now + UPDATE_INTERVAL_MS
    const replaced = [...this.changed].filter((queue) => this.updateModel(state, queue))
    this.changed.clear()
    if (replaced.length > 0) this.applyModels(state, new Set(replaced))
    if (!this.storeNeeded || state.now < this.storeAt) return
    this.storeAt = state.now + STORE_INTERVAL_MS
    this.storeNeeded = false
    const sums = new Map([...this.statistics].map(([queue, statistics]) => [queue, statistics.sums]))
    state.effects.push({ type: 'store-learned', record: 'run-times', value: formatRunTimes(sums) })
  }

  /** Continues with what a previous owner has stored. A damaged record is dropped: the declared times count again. */
  restore (state: CellState, text: string): void {
    if (!this.enabled) return
    const queues = parseRunTimes(text)
    if (queues === undefined) return log(state, 'warn', 'run-times-unreadable', { bytes: text.length })
    for (const [queue, sums] of [...queues].slice(0, MAX_QUEUES)) {
      if (this.statistics.has(queue)) continue
      this.statistics.set(queue, RunTimeStatistics.create(sums))
      this.updateModel(state, queue)
    }
    this.applyModels(state, new Set(queues.keys()))
    log(state, 'info', 'run-times-restored', { queues: queues.size, estimated: this.models.size })
  }

  private learn (queue: string, declaredMs: number, runMs: number, estimateMs: number): void {
    const statistics = this.statistics.get(queue) ?? RunTimeStatistics.create()
    statistics.record(declaredMs, runMs, estimateMs)
    // The order of the map is that of the last runs.
    this.statistics.delete(queue)
    this.statistics.set(queue, statistics)
    this.changed.add(queue)
    this.storeNeeded = true
    if (this.statistics.size > MAX_QUEUES) this.forget(this.statistics.keys().next().value!)
  }

  private forget (queue: string): void {
    this.statistics.delete(queue)
    this.models.delete(queue)
    this.logged.delete(queue)
    this.changed.delete(queue)
  }

  /**
   * Corrects a run time to that on a target of mean speed. If all targets seem slow, the estimates are too short. The mean is
   * one of the present slowness of all targets, because that falls everywhere when an estimate grows.
   */
  private correct (state: CellState, runMs: number, slowness: number): number {
    if (slowness === UNKNOWN_SLOWNESS) return runMs
    if (state.now >= this.meanSpeedAt + SPEED_INTERVAL_MS) {
      this.meanSpeedAt = state.now
      this.meanSpeed = computeMeanSpeed(state)
    }
    return runMs * toSpeed(slowness) / this.meanSpeed
  }

  /** Computes the model of a queue; returns whether it was replaced. */
  private updateModel (state: CellState, queue: string): boolean {
    const statistics = this.statistics.get(queue)
    const model = statistics?.computeModel()
    const current = this.models.get(queue)
    if (statistics === undefined || model === undefined || (current !== undefined && isSimilar(current, model, CHANGE_RATIO))) return false
    this.models.set(queue, model)
    const logged = this.logged.get(queue)
    if (logged !== undefined && isSimilar(logged, model, LOGGED_CHANGE_RATIO)) return true
    this.logged.set(queue, model)
    log(state, 'info', 'run-times-learned', { queue, ...describe(statistics, model) })
    return true
  }

  private applyModels ({ jobs }: CellState, queues: ReadonlySet<string>): void {
    for (const job of jobs.values()) {
      if (job.active && queues.has(job.definition.queue)) this.applyTo(job)
    }
  }
}

function computeMeanSpeed ({ targets }: CellState): number {
  const speeds = [...targets.values()].flatMap(({ slowness }) => slowness === UNKNOWN_SLOWNESS ? [] : [toSpeed(slowness)])
  return speeds.length === 0 ? 1 : speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length
}

function toSpeed (slowness: number): number {
  return 1 / Math.min(SLOWNESS_RANGE.max, Math.max(SLOWNESS_RANGE.min, slowness))
}

/** A run that an earlier owner started, or that continued from a checkpoint, is known in part only. */
function findUse ({ adopted, resumed, throttlePercent, task: { step: { spec } } }: LiveRun): RunUse {
  if (adopted) return 'adopted'
  if (resumed) return 'resumed'
  if (throttlePercent < 100 || spec.fills) return 'throttled'
  return spec.estimatedMs > 0 && !spec.longRunning ? 'learned' : 'undeclared'
}

function describe ({ sums: { runs, weight, x, y } }: RunTimeStatistics, { interceptMs, slope, spreadMs }: RunTimeModel): Readonly<Record<string, number>> {
  return { runs, declaredMs: Math.round(1_000 * x / weight), meanMs: Math.round(1_000 * y / weight), spreadMs: Math.round(spreadMs), interceptMs: Math.round(interceptMs), slope: Number(slope.toFixed(3)) }
}
