import type { PendingAdvice } from './pending-advice.ts'
import type { CellConfiguration, Organisation, Queue } from './cell-configuration.ts'
import type { CellEffect } from './effect.ts'
import type { Demand, JobDefinition, JobPhase } from './job.ts'
import { NO_DEMAND } from './job.ts'
import type { CellOptions } from './options.ts'
import type { SubmissionBucket } from './submission-share.ts'
import type { TargetState } from './target-state.ts'
import type { Job, StepRun, Task } from './task.ts'

/** What is kept of a job after its end, until callers have had time to ask for it. */
export type EndedJob = { readonly phase: JobPhase, readonly endedAt: number }

/** All that the scheduler of a cell knows. Handlers change it and append effects. */
export type CellState = {
  readonly options: CellOptions
  now: number
  effects: CellEffect[]
  configuration: CellConfiguration | undefined
  readonly queues: Map<string, Queue>
  readonly organisations: Map<string, Organisation>
  readonly used: Map<string, Demand>
  readonly submissions: Map<string, SubmissionBucket>
  readonly jobs: Map<string, Job>
  /** Jobs that have ended and whose definitions are no longer stored. */
  readonly ended: Map<string, EndedJob>
  /** Steps of active jobs that have tasks to start. */
  readonly open: Set<StepRun>
  readonly targets: Map<string, TargetState>
  readonly domainsOut: Set<string>
  /** Targets that the store names as ones that may hold runs. */
  readonly storedTargets: Set<string>
  /** Until then, tasks of restored jobs wait for targets that have not been listed. */
  earlierRunsPossible: boolean
  /** Questions to the advisor that have no answer yet. */
  readonly pendingAdvice: PendingAdvice
  /** Part of the targets in recent answers for each queue that the advisor allowed. */
  readonly allowedShare: Map<string, number>
  /** What runs that are not known here may use, as of the last pass. */
  uncertain: Demand
  /** Number of the last run; higher than any run of an earlier owner. */
  lastRun: number
  /** Something has changed that may let a task start. */
  stale: boolean
}

/** Adds a log line to the effects. */
export function log (state: CellState, level: 'info' | 'warn' | 'error', message: string, fields: Readonly<Record<string, string | number | boolean>>): void {
  state.effects.push({ type: 'log', level, message, fields })
}

export function count (state: CellState, counter: string, reason: string): void {
  state.effects.push({ type: 'count', counter, reason })
}

/** What an organisation has running, stopping or on its way. */
export function usedBy (state: CellState, organisation: string): Demand {
  return state.used.get(organisation) ?? NO_DEMAND
}

export function changeUsage (state: CellState, organisation: string, demand: Demand, sign: 1 | -1): void {
  const used = usedBy(state, organisation)
  state.used.set(organisation, {
    cpuMillis: used.cpuMillis + sign * demand.cpuMillis,
    memoryMiB: used.memoryMiB + sign * demand.memoryMiB,
    accelerators: used.accelerators + sign * demand.accelerators
  })
}

/** The queue of a job; undefined while its configuration is not known here. */
export function queueOf (state: CellState, definition: JobDefinition): Queue | undefined {
  return state.queues.get(definition.queue)
}

/** Whether a job is of a queue with the highest priority. */
export function isUrgent (state: CellState, definition: JobDefinition): boolean {
  return (queueOf(state, definition)?.priority ?? 0) === 0
}

/** The task with the given key, if its job is known and its occurrence is open. */
export function findTask (state: CellState, key: string): Task | undefined {
  const [job, occurrence, step, index] = key.split('.')
  return state.jobs.get(job!)?.task(Number(occurrence), Number(step), Number(index))
}
