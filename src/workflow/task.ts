import type { JobDefinition, JobPhase, Step, TaskKey } from './job.ts'
import { isFinal, stepKey, taskKey } from './job.ts'
import type { LiveRun } from './live-run.ts'
import { StepAdvice } from './step-advice.ts'

export type TaskPhase = 'waiting' | 'live' | 'done'

/** One task of a step of an occurrence. */
export class Task {
  phase: TaskPhase = 'waiting'
  /** Runs that failed; an end that is listed again after a change of the owner counts once. */
  readonly failedRuns = new Set<number>()
  checkpoint = ''
  /** Runs that may still be present on a target; a new start waits until there is none. */
  readonly runs = new Set<LiveRun>()
  /** Target on which the task failed last. */
  failedOn: string | undefined

  private constructor (readonly key: TaskKey, readonly index: number, readonly step: StepRun) {}

  static create (step: StepRun, index: number): Task {
    return new Task(taskKey(step.job.definition.id, step.occurrence, step.number, index), index, step)
  }

  get failures (): number {
    return this.failedRuns.size
  }
}

/** A step of one occurrence of a job. */
export class StepRun {
  readonly key: string
  readonly tasks: readonly Task[]
  readonly advice = StepAdvice.create()
  /** Failed runs of a gang as a whole. */
  readonly gangFailedRuns = new Set<number>()
  /** Why its tasks do not start, as it was last logged. */
  blockedBy: string | undefined
  unfinished: number

  private constructor (readonly job: Job, readonly occurrence: number, readonly number: number, readonly spec: Step) {
    this.key = stepKey(job.definition.id, occurrence, number)
    this.tasks = Array.from({ length: spec.count }, (_, index) => Task.create(this, index))
    this.unfinished = spec.count
  }

  static create (job: Job, occurrence: number, number: number, spec: Step): StepRun {
    return new StepRun(job, occurrence, number, spec)
  }

  get done (): boolean {
    return this.unfinished === 0
  }

  /** Whether all steps before this one have ended. */
  get ready (): boolean {
    const siblings = this.job.occurrences.get(this.occurrence)!
    return this.spec.after.every((number) => siblings[number]?.done ?? true)
  }
}

/** A job with all that is known of its tasks. */
export class Job {
  phase: JobPhase = 'queued'
  /** Steps of the occurrences that are due and not complete, by occurrence. */
  readonly occurrences = new Map<number, readonly StepRun[]>()
  /** Occurrences that have ended; all below `nextOccurrence` are either ended or in `occurrences`. */
  nextOccurrence = 0
  /** When it ended, on the scheduler's clock; undefined while it has not. */
  endedAt: number | undefined
  /** Whether the record of the present phase has been stored. */
  shownPhase: JobPhase = 'queued'
  /** Its organisation had sent more than its share of jobs a second when it came. */
  surplus = false
  /** For each step the declared time from its start to the end of the job along the longest chain, in milliseconds. */
  readonly chainMs: readonly number[]

  private constructor (readonly definition: JobDefinition, readonly acceptedAt: number, readonly restored: boolean) {
    this.chainMs = chainsOf(definition.steps)
  }

  /** `restored`: an earlier owner may have started its tasks. */
  static create (definition: JobDefinition, acceptedAt: number, restored: boolean): Job {
    return new Job(definition, acceptedAt, restored)
  }

  get active (): boolean {
    return !isFinal(this.phase)
  }

  /** Makes the steps of the next occurrence. */
  openOccurrence (): readonly StepRun[] {
    const number = this.nextOccurrence
    this.nextOccurrence += 1
    const steps = this.definition.steps.map((spec, index) => StepRun.create(this, number, index, spec))
    this.occurrences.set(number, steps)
    return steps
  }

  /** The task with the key parts, if its occurrence is open. */
  task (occurrence: number, step: number, index: number): Task | undefined {
    return this.occurrences.get(occurrence)?.[step]?.tasks[index]
  }

  * tasks (): Iterable<Task> {
    for (const steps of this.occurrences.values()) {
      for (const step of steps) yield * step.tasks
    }
  }
}

/** Longest declared time from the start of each step to the end of the job. */
function chainsOf (steps: readonly Step[]): readonly number[] {
  const chains = steps.map(({ estimatedMs }) => estimatedMs)
  for (let later = steps.length - 1; later >= 0; later--) {
    for (const earlier of steps[later]!.after) {
      chains[earlier] = Math.max(chains[earlier]!, steps[earlier]!.estimatedMs + chains[later]!)
    }
  }
  return chains
}
