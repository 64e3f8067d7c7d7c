import type { CellState } from './cell-state.ts'
import type { CellOptions } from './options.ts'
import { AdviceBacklog } from './advice/advice-backlog.ts'
import { PendingAdvice } from './advice/pending-advice.ts'
import { LastAttempts } from './attempts/last-attempts.ts'
import { ResendPause } from './commands/resend-pause.ts'
import { StartWindow } from './commands/start-window.ts'
import { CrashRate } from './crashes/crash-rate.ts'
import { DeferredJobs } from './deferred-jobs.ts'
import { CompletionForecasts } from './forecast/completion-forecasts.ts'
import { LastingBacklogs } from './forecast/lasting-backlogs.ts'
import { HeldJobs } from './held-jobs.ts'
import { NO_DEMAND } from './job.ts'
import { LastingPrecedence } from './order/lasting-precedence.ts'
import { PastUse } from './past-use/past-use.ts'
import { Preemption } from './preemption/preemption.ts'
import { RoomLog } from './room/room-log.ts'
import { RunTimes } from './run-times/run-times.ts'
import { KnownSettings } from './settings/known-settings.ts'
import { ConcludedStarts } from './takeover/concluded-starts.ts'
import { SilentTargets } from './takeover/silent-targets.ts'
import { UnboundTargets } from './takeover/unbound-targets.ts'
import { LastingTaskWaits } from './waits/lasting-task-waits.ts'
import { UnsettledRunsLog } from './waits/unsettled-runs-log.ts'

/**
 * Number of targets that the searches of one start pass examine. The steps that are left are served by the next passes, so
 * that a backlog cannot keep the process from its other work.
 */
export const SEARCH_BUDGET_TARGETS = 8_000

/**
 * Creates the state of a scheduler that knows of no job and no target.
 *
 * @example
 * const state = createCellState({ ...DEFAULT_CELL_OPTIONS, firstRunNumber: 1 })
 */
export function createCellState (options: CellOptions): CellState {
  return {
    options,
    now: 0,
    effects: [],
    configuration: undefined,
    queues: KnownSettings.create(),
    organisations: KnownSettings.create(),
    usage: new Map(),
    pastUse: PastUse.create(options.features.pastUseHalfLifeS),
    batchRuns: new Map(),
    submissionBuckets: new Map(),
    jobs: new Map(),
    heldJobs: HeldJobs.create(options.jobMemory),
    deferredJobs: DeferredJobs.create(),
    endedJobs: new Map(),
    openSteps: new Set(),
    targets: new Map(),
    openTargets: new Map(),
    roomLog: RoomLog.create(),
    searchBudget: SEARCH_BUDGET_TARGETS,
    possibleCrashes: new Map(),
    crashRate: CrashRate.create(),
    evacuatedDomains: new Set(),
    storedTargets: new Set(),
    closedTargets: new Map(),
    commandedIncarnations: new Map(),
    unboundTargets: UnboundTargets.create(options.areCommandsBound === true),
    aloneUntil: Infinity,
    earlierCommands: { type: 'none' },
    silentTargets: SilentTargets.create(),
    runsLostByRestarts: new Map(),
    restarts: new Map(),
    revocations: new Map(),
    departedTargets: new Map(),
    heldBackTasks: new Map(),
    earlierRunsPossible: false,
    pendingAdvice: PendingAdvice.create(),
    adviceBacklog: AdviceBacklog.create(),
    allowedRatios: new Map(),
    runTimes: RunTimes.create(options.features.learnedRunTimes),
    lastingBacklogs: LastingBacklogs.create(options.features.newestFirstInBacklog),
    forecasts: CompletionForecasts.create(options.features.completionForecast),
    uncertainUsage: NO_DEMAND,
    lastRunNumber: options.firstRunNumber - 1,
    startPassNeeded: false,
    passWork: { passes: 0, steps: 0, targets: 0 },
    resendPause: ResendPause.create(options.resendAfterMs),
    startWindow: StartWindow.create(),
    concludedStarts: ConcludedStarts.create(),
    lastingTasks: LastingTaskWaits.create(),
    lastingPrecedence: LastingPrecedence.create(),
    preemption: Preemption.create(),
    lastAttempts: LastAttempts.create(),
    unsettledRuns: UnsettledRunsLog.create()
  }
}
