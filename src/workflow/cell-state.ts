import type { AdviceBacklog } from './advice/advice-backlog.ts'
import type { PendingAdvice } from './advice/pending-advice.ts'
import type { CellConfiguration } from './settings/cell-configuration.ts'
import type { ConcludedStarts } from './takeover/concluded-starts.ts'
import type { CrashRate } from './crashes/crash-rate.ts'
import type { EarlierCommands } from './takeover/earlier-commands.ts'
import type { CellEffect } from './effect.ts'
import type { Demand, JobDefinition, JobPhase, TaskKey } from './job.ts'
import { NO_DEMAND } from './job.ts'
import type { OrganisationSettings, QueueSettings } from './settings/job-settings.ts'
import type { DeferredJobs } from './deferred-jobs.ts'
import type { HeldJobs } from './held-jobs.ts'
import type { KnownSettings } from './settings/known-settings.ts'
import type { CompletionForecasts } from './forecast/completion-forecasts.ts'
import type { LastingBacklogs } from './forecast/lasting-backlogs.ts'
import type { LastingPrecedence } from './order/lasting-precedence.ts'
import type { LastingTaskWaits } from './waits/lasting-task-waits.ts'
import type { OpenTargets } from './room/open-targets.ts'
import type { PastUse } from './past-use/past-use.ts'
import type { CellOptions } from './options.ts'
import type { Preemption } from './preemption/preemption.ts'
import type { RunTimes } from './run-times/run-times.ts'
import type { LastAttempts } from './attempts/last-attempts.ts'
import type { ResendPause } from './commands/resend-pause.ts'
import type { RoomLog } from './room/room-log.ts'
import type { SilentTargets } from './takeover/silent-targets.ts'
import type { StartWindow } from './commands/start-window.ts'
import type { SubmissionBucket } from './order/submission-share.ts'
import type { TargetState } from './target-state.ts'
import type { Job, StepRun, Task } from './task.ts'
import type { DepartedTarget } from './takeover/departed-targets.ts'
import type { LiveRun } from './live-run.ts'
import type { UnboundTargets } from './takeover/unbound-targets.ts'
import type { UnsettledRunsLog } from './waits/unsettled-runs-log.ts'

/** State of an ended job that is kept for the retention time, so that callers can read it. */
export type EndedJob = { readonly phase: JobPhase, readonly endedAt: number }

/** Work of the start passes since the last summary: passes, steps and targets that they examined. */
export type PassWork = { passes: number, steps: number, targets: number }

/** State of the scheduler of a cell. Event handlers change it and append effects. */
export type CellState = {
  readonly options: CellOptions
  now: number
  effects: CellEffect[]
  configuration: CellConfiguration | undefined
  readonly queues: KnownSettings<QueueSettings>
  readonly organisations: KnownSettings<OrganisationSettings>
  readonly usage: Map<string, Demand>
  readonly pastUse: PastUse
  /** By organisation, its runs that are neither urgent nor of tasks that last. */
  readonly batchRuns: Map<string, number>
  readonly submissionBuckets: Map<string, SubmissionBucket>
  readonly jobs: Map<string, Job>
  readonly heldJobs: HeldJobs
  readonly deferredJobs: DeferredJobs
  /** Ended jobs whose definitions are no longer stored. */
  readonly endedJobs: Map<string, EndedJob>
  /** Steps of active jobs that have tasks to start. */
  readonly openSteps: Set<StepRun>
  readonly targets: Map<string, TargetState>
  /** By pool, the targets that accept work; made when first needed by an event or a start pass. */
  readonly openTargets: Map<string | undefined, OpenTargets>
  /** Number of targets that searches for advice requests may still examine in this event or start pass. */
  searchBudget: number
  /** Targets that may have more room than before, for steps that found none. */
  readonly roomLog: RoomLog
  readonly evacuatedDomains: Set<string>
  /** Incarnations of targets that may have crashed, and the tasks that ran there. */
  readonly possibleCrashes: Map<string, Set<Task>>
  readonly crashRate: CrashRate
  /** Targets that are on the stored list of targets that may have runs. */
  readonly storedTargets: Set<string>
  /** Targets that are stored as closed: they get no starts, and only these tasks may run there. */
  readonly closedTargets: Map<string, ReadonlySet<TaskKey>>
  /**
   * The incarnation of each target that commands were measured for: of a target that has restarted, the one before, until all
   * leases measured on its clock have ended.
   */
  readonly commandedIncarnations: Map<string, number>
  readonly unboundTargets: UnboundTargets
  /** Until when certainly no other owner has acted. */
  aloneUntil: number
  earlierCommands: EarlierCommands
  readonly silentTargets: SilentTargets
  /** Runs that restarts of their targets have ended after that time, and when the restarts were seen. */
  readonly runsLostByRestarts: Map<LiveRun, number>
  /** How often targets have restarted under this owner, by their ids; also of targets that were removed since. */
  readonly restarts: Map<string, number>
  /** How often this owner has revoked its commands to targets, by their ids; also of targets that were removed since. */
  readonly revocations: Map<string, number>
  /** Targets that were removed so recently that commands to them may still be executed, by their ids. */
  readonly departedTargets: Map<string, DepartedTarget>
  /** Tasks that may run on closed targets of previous owners, and the ids of these targets. */
  readonly heldBackTasks: Map<Task, Set<string>>
  /** Whether unlisted targets may have runs of a previous owner; while true, tasks of restored jobs do not start. */
  earlierRunsPossible: boolean
  /** Advice requests without a response. */
  readonly pendingAdvice: PendingAdvice
  /** Work for the advisor that accepted jobs wait for. */
  readonly adviceBacklog: AdviceBacklog
  /** By queue, the ratio of targets in recent advice responses that the advisor allowed. */
  readonly allowedRatios: Map<string, number>
  readonly runTimes: RunTimes
  readonly lastingBacklogs: LastingBacklogs
  readonly forecasts: CompletionForecasts
  /** Maximum usage of runs that are not known here, as of the last start pass. */
  uncertainUsage: Demand
  /** Number of the last started run; higher than that of any run of a previous owner. */
  lastRunNumber: number
  /** Whether a change since the last start pass may let a task start. */
  startPassNeeded: boolean
  readonly passWork: PassWork
  readonly resendPause: ResendPause
  readonly startWindow: StartWindow
  readonly concludedStarts: ConcludedStarts
  readonly lastingTasks: LastingTaskWaits
  readonly lastingPrecedence: LastingPrecedence
  readonly preemption: Preemption
  readonly lastAttempts: LastAttempts
  readonly unsettledRuns: UnsettledRunsLog
}

/** Adds a log line to the effects. */
export function log (state: CellState, level: 'info' | 'warn' | 'error', message: string, fields: Readonly<Record<string, string | number | boolean>>): void {
  state.effects.push({ type: 'log', level, message, fields })
}

/** Adds an increment of a counter to the effects. */
export function count (state: CellState, counter: string, reason: string): void {
  state.effects.push({ type: 'count', counter, reason })
}

/** Records that a target may have room that it did not have before. */
export function recordRoom (state: CellState, target: TargetState): void {
  state.roomLog.record(target)
  state.startPassNeeded = true
}

/** Demand of all starting, running and stopping runs of an organisation. */
export function getUsage (state: CellState, organisation: string): Demand {
  return state.usage.get(organisation) ?? NO_DEMAND
}

/** Weight of the share of an organisation; 1 if it is not known. */
export function getWeight (state: CellState, organisation: string): number {
  return state.organisations.find(organisation)?.weight ?? 1
}

/** Adds a demand to the usage of an organisation, or subtracts it. */
export function changeUsage (state: CellState, organisation: string, demand: Demand, sign: 1 | -1): void {
  const usage = getUsage(state, organisation)
  const changed = {
    cpuMillis: usage.cpuMillis + sign * demand.cpuMillis,
    memoryMiB: usage.memoryMiB + sign * demand.memoryMiB,
    accelerators: usage.accelerators + sign * demand.accelerators
  }
  state.usage.set(organisation, changed)
  state.pastUse.charge({ organisation, usage: changed, weight: getWeight(state, organisation), now: state.now })
}

/** Counts a run that is neither urgent nor of a task that lasts, or uncounts it. */
export function changeBatchRuns (state: CellState, organisation: string, sign: 1 | -1): void {
  state.batchRuns.set(organisation, (state.batchRuns.get(organisation) ?? 0) + sign)
}

/** Returns the settings of a job's queue; undefined if they are not known, or not yet. */
export function findQueue (state: CellState, definition: JobDefinition): QueueSettings | undefined {
  return state.queues.find(definition.queue)
}

/** Whether a job is in a queue with priority 0, the highest. */
export function isUrgent (state: CellState, definition: JobDefinition): boolean {
  return (findQueue(state, definition)?.priority ?? 0) === 0
}

/** Returns the job of the task with the given key if it is known. */
export function findJob (state: CellState, key: TaskKey): Job | undefined {
  return state.jobs.get(key.slice(0, key.indexOf('.')))
}

/** Returns the task with the given key if its job is known and its occurrence is open. */
export function findTask (state: CellState, key: TaskKey): Task | undefined {
  const [, occurrence, step, index] = key.split('.')
  return findJob(state, key)?.findTask(Number(occurrence), Number(step), Number(index))
}
