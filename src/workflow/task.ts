import { CrashRecord } from './crashes/crash-record.ts'
import type { JobDefinition, JobPhase, Step, TaskKey } from './job.ts'
import { isFinalPhase, formatStepKey, formatTaskKey } from './job.ts'
import type { LiveRun } from './live-run.ts'
import type { StartRefusal } from './commands/start-refusal.ts'
import { estimateRunMs } from './run-times/run-time-model.ts'
import type { RunTimeModel } from './run-times/run-time-model.ts'
import { StepAdvice } from './advice/step-advice.ts'
import { OccurrenceSteps } from './occurrence-steps.ts'
import { StepTasks } from './step-tasks.ts'

/** `live`: the task has a run that may be present on a target. */
export type TaskPhase = 'waiting' | 'live' | 'done'

/** One task of a step of an occurrence. */
export class Task {
  /** Numbers of failed runs; a completion that is listed again after a change of owner counts once. */
  readonly failedRuns = new Set<number>()
  readonly crashes = CrashRecord.create()
  checkpoint = ''
  /** Runs that ended without a completion, under this owner. */
  lostRuns = 0
  /** Runs that may still be present on a target. A new run starts only when there is none, except for speculative tasks. */
  readonly runs = new Set<LiveRun>()
  /** Target on which the task last failed. */
  lastFailedTarget: string | undefined
  /** Number of the last run whose start commands can no longer be executed, if that was recorded. */
  concludedRun: number | undefined
  /** Undefined while no start has been refused since the last one that was accepted. */
  refusal: StartRefusal | undefined
  /** The targets that have refused it since then, and when they did so on the scheduler's clock; `-Infinity` for unhealthy ones. */
  readonly refusedBy = new Map<string, number>()

  private constructor (readonly key: TaskKey, readonly index: number, readonly step: StepRun, private currentPhase: TaskPhase) {}

  /** Creates the object of a task. The step counts it in this phase already. */
  static create (step: StepRun, index: number, phase: TaskPhase): Task {
    return new Task(formatTaskKey(step.job.definition.id, step.occurrence, step.stepNumber, index), index, step, phase)
  }

  get phase (): TaskPhase {
    return this.currentPhase
  }

  set phase (phase: TaskPhase) {
    if (phase === this.currentPhase) return
    if (this.currentPhase === 'waiting') this.step.waitingTasks -= 1
    if (phase === 'waiting') this.step.waitingTasks += 1
    this.currentPhase = phase
  }

  get failures (): number {
    return this.failedRuns.size
  }
}

/** A step of one occurrence of a job. */
export class StepRun {
  readonly key: string
  readonly tasks: StepTasks
  readonly advice = StepAdvice.create()
  /** Numbers of failed runs of the whole gang. */
  readonly gangFailedRuns = new Set<number>()
  /** Last logged reason why its tasks do not start. */
  blockedBy: string | undefined
  unfinishedTasks: number
  /** Tasks in the phase `waiting`; maintained by the tasks. */
  waitingTasks: number

  private constructor (readonly job: Job, readonly occurrence: number, readonly siblings: OccurrenceSteps, readonly stepNumber: number, readonly spec: Step) {
    this.key = formatStepKey(job.definition.id, occurrence, stepNumber)
    this.tasks = StepTasks.create(Math.floor(spec.count), (index, phase) => Task.create(this, index, phase))
    this.unfinishedTasks = spec.count
    this.waitingTasks = spec.count
  }

  /** Creates the object of a step; `siblings`: the steps of its occurrence. */
  static create (job: Job, occurrence: number, siblings: OccurrenceSteps, number: number, spec: Step): StepRun {
    return new StepRun(job, occurrence, siblings, number, spec)
  }

  get done (): boolean {
    return this.unfinishedTasks === 0
  }

  /** Estimated duration of one task, in milliseconds: the declared one unless enough runs of the queue are known. */
  get expectedMs (): number {
    return estimateRunMs(this.job.runTimeModel, this.spec.estimatedMs)
  }

  /**
   * Whether its caller gets nothing of it now: no task of its job runs. Each task that lasts counts for itself. The members
   * of a gang are placed one after another, so that those placed before do not count.
   */
  get isIdle (): boolean {
    return this.spec.longRunning || !this.job.hasRuns(this.spec.gang ? this : undefined)
  }

  /** Whether all predecessors have ended. */
  get ready (): boolean {
    return this.siblings.isReady(this.stepNumber)
  }

  /** Whether nothing is to be known of a step that has ended but that it has. */
  get isForgettable (): boolean {
    if (this.gangFailedRuns.size > 0) return false
    for (const { runs, failures, crashes } of this.tasks.known()) {
      if (runs.size > 0 || failures > 0 || !crashes.isEmpty) return false
    }
    return true
  }

  /** Records that one of its tasks has ended. */
  recordTaskDone (): void {
    this.unfinishedTasks -= 1
    this.siblings.recordTaskDone()
    if (this.done) this.siblings.recordDone(this.stepNumber)
  }

  /** Restores a step whose tasks had all ended, which its occurrence knows already. */
  restoreDone (): void {
    this.unfinishedTasks = 0
    this.waitingTasks = 0
    this.tasks.finishAll()
  }
}

/** A job and the state of its tasks. */
export class Job {
  phase: JobPhase = 'queued'
  /** Steps of the opened occurrences, by occurrence; one that has ended is left out unless more is to be known of it. */
  readonly occurrences = new Map<number, OccurrenceSteps>()
  /** Number of the next occurrence to open; all before it have ended or are in `occurrences`. */
  nextOccurrence = 0
  /** When the job ended, on the scheduler's clock; undefined while it is active. */
  endedAt: number | undefined
  /** Phase that callers may see; changes to a final phase only once the record of that phase is stored. */
  visiblePhase: JobPhase = 'queued'
  /** Whether its organisation exceeded its share of jobs a second when the job was submitted. */
  exceedsShare = false
  /** For each step, the declared duration from its start to the end of the job along the longest chain of steps. */
  readonly chainsMs: readonly number[]
  /** The same with estimated durations instead of declared ones. */
  expectedChainsMs: readonly number[]
  /** Undefined while the declared durations count. */
  runTimeModel: RunTimeModel | undefined

  private constructor (readonly definition: JobDefinition, readonly acceptedAt: number, readonly restored: boolean) {
    this.chainsMs = computeChainsMs(definition.steps)
    this.expectedChainsMs = this.chainsMs
  }

  /** Creates a job. `restored`: a previous owner may have started its tasks. */
  static create (definition: JobDefinition, acceptedAt: number, restored: boolean): Job {
    return new Job(definition, acceptedAt, restored)
  }

  get active (): boolean {
    return !isFinalPhase(this.phase)
  }

  /** Estimates the durations of its tasks from what was learned of its queue. Its objective stays as declared. */
  applyRunTimeModel (model: RunTimeModel): void {
    this.runTimeModel = model
    this.expectedChainsMs = computeChainsMs(this.definition.steps, (declaredMs) => estimateRunMs(model, declaredMs))
  }

  /** Whether a task of it has a run that may be on a target, those of one step left out. */
  hasRuns (leftOut: StepRun | undefined): boolean {
    for (const task of this.knownTasks()) {
      if (task.step !== leftOut && task.runs.size > 0) return true
    }
    return false
  }

  /** Creates the steps of the next occurrence. */
  openOccurrence (): OccurrenceSteps {
    const number = this.nextOccurrence
    this.nextOccurrence += 1
    const steps = OccurrenceSteps.create(this.definition.steps, (siblings, index, spec) => StepRun.create(this, number, siblings, index, spec))
    this.occurrences.set(number, steps)
    return steps
  }

  /** Forgets a step that has ended, and with the last one its occurrence, unless more is to be known of them. */
  forgetStep (step: StepRun): void {
    const { siblings, occurrence } = step
    siblings.release(step)
    if (siblings.areDone && siblings.isEmpty) this.occurrences.delete(occurrence)
  }

  /** Returns the task with these parts of its key if its occurrence is open. */
  findTask (occurrence: number, step: number, index: number): Task | undefined {
    return this.occurrences.get(occurrence)?.open(step)?.tasks.get(index)
  }

  /** The tasks of open occurrences of which something is known. All others wait, or are done. */
  * knownTasks (): Iterable<Task> {
    for (const steps of this.occurrences.values()) {
      for (const step of steps.known()) yield * step.tasks.known()
    }
  }
}

/** Computes the longest duration from the start of each step to the end of the job; the declared one without an estimate. */
export function computeChainsMs (steps: readonly Step[], estimate = (declaredMs: number): number => declaredMs): readonly number[] {
  const durations = steps.map(({ estimatedMs }) => estimate(estimatedMs))
  const chains = [...durations]
  for (let later = steps.length - 1; later >= 0; later--) {
    for (const earlier of steps[later]!.after) {
      chains[earlier] = Math.max(chains[earlier]!, durations[earlier]! + chains[later]!)
    }
  }
  return chains
}
