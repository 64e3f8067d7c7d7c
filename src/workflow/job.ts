import type { JobSettings } from './settings/job-settings.ts'

/** Resources of a task or a target, in thousandths of a core, mebibytes and whole accelerators. */
export type Demand = {
  readonly cpuMillis: number
  readonly memoryMiB: number
  readonly accelerators: number
}

export const NO_DEMAND: Demand = { cpuMillis: 0, memoryMiB: 0, accelerators: 0 }

/**
 * Adds two demands.
 *
 * @example
 * addDemands(target.booked, step.demand)
 */
export function addDemands (left: Demand, right: Demand): Demand {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMiB: left.memoryMiB + right.memoryMiB,
    accelerators: left.accelerators + right.accelerators
  }
}

/** Takes the larger value of each resource. */
export function maxDemand (left: Demand, right: Demand): Demand {
  return {
    cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
    memoryMiB: Math.max(left.memoryMiB, right.memoryMiB),
    accelerators: Math.max(left.accelerators, right.accelerators)
  }
}

/** One step of a job: `count` tasks of the same shape. */
export type Step = {
  readonly count: number
  readonly demand: Demand
  /** Declared duration of one task, in milliseconds; may be far off. */
  readonly estimatedMs: number
  /** Numbers of the steps that must have ended before this one starts. */
  readonly after: readonly number[]
  /** Whether all tasks start together and end together. */
  readonly gang: boolean
  /** Whether a gang is slower on more than one rack. */
  readonly sameRack: boolean
  /** Label that the target must have. */
  readonly requiredLabel: string | undefined
  /** Rack that has the input data; tasks run slower on other racks. */
  readonly dataRack: string | undefined
  /** Maximum number of tasks of the step on one target; 0: no limit. */
  readonly perTargetLimit: number
  /** Whether copies of a task may run at the same time. */
  readonly speculative: boolean
  /** Whether the tasks run until the job is cancelled. */
  readonly longRunning: boolean
  readonly checkpoints: boolean
  /** Name of the program image; tasks of the same image behave alike. */
  readonly image: string
  /** Bound for the tail latency of a long-running task, in milliseconds; 0: none. */
  readonly latencyTargetMs: number
  /** Whether the tasks are best-effort: they use processor time that other tasks leave idle, and no cpu is booked for them. */
  readonly fills: boolean
  /** Number of tasks of a long-running step that the scheduler may make unavailable at a time. */
  readonly disruptionBudget: number
}

/** A job as its caller submitted it. */
export type JobDefinition = {
  readonly id: string
  readonly queue: string
  readonly organisation: string
  /** Passed unchanged to every start of a task. */
  readonly payload: string
  readonly steps: readonly Step[]
  /** Due time of the first occurrence, in milliseconds since 1970; 0: at once. */
  readonly firstAtMs: number
  readonly intervalMs: number
  /** How often the steps run; 1 for a plain job. */
  readonly occurrences: number
  /** When its caller submitted it, in milliseconds since 1970. */
  readonly submittedAtMs: number
  /** What it refers to, as of its submission; missing in records of older releases. */
  readonly settings?: JobSettings
}

/** Phase of a job, as it is stored. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** Whether a job in this phase has ended, so that no more of its tasks start. */
export function isFinalPhase (phase: JobPhase): boolean {
  return phase === 'completed' || phase === 'failed' || phase === 'cancelled'
}

/** Key of a task: job, occurrence, step and index, separated by dots. */
export type TaskKey = string

/**
 * Formats the key of a task.
 *
 * @example
 * formatTaskKey('5c0e7a21d94b36f8', 0, 1, 17) // '5c0e7a21d94b36f8.0.1.17'
 */
export function formatTaskKey (job: string, occurrence: number, step: number, index: number): TaskKey {
  return `${job}.${occurrence}.${step}.${index}`
}

/**
 * Formats the key of a step of one occurrence.
 *
 * @example
 * formatStepKey('5c0e7a21d94b36f8', 0, 1) // '5c0e7a21d94b36f8.0.1'
 */
export function formatStepKey (job: string, occurrence: number, step: number): string {
  return `${job}.${occurrence}.${step}`
}
