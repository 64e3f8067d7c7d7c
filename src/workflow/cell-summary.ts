import type { CellState } from './cell-state.ts'
import { needsAdvice } from './room/placement.ts'
import { acceptsWork } from './room/target-acceptance.ts'
import { countStartableTasks } from './order/startable.ts'

/** Utilisation and backlog of a cell, as written to the log. */
export type CellSummary = {
  readonly jobs: number
  /** Jobs that stay in the store until there is memory for them, and what the others take by the estimate. */
  readonly deferredJobs: number
  readonly heldJobBytes: number
  readonly targets: number
  /** Targets that accept new tasks. */
  readonly usableTargets: number
  readonly capacityCpuMillis: number
  readonly bookedCpuMillis: number
  readonly capacityMemoryMiB: number
  readonly bookedMemoryMiB: number
  readonly runs: number
  readonly waitingTasks: number
  /** Waiting tasks of jobs that exceed their organisation's share of submissions. */
  readonly surplusTasks: number
  /** Steps with a pending advice request. */
  readonly askingSteps: number
  /** Ready steps without any advice and without a pending request, and how long the oldest of their jobs has waited. */
  readonly unadvisedSteps: number
  readonly longestUnadvisedMs: number
  /** Time that the channels to the advisor need for what accepted jobs wait for. */
  readonly adviceBacklogMs: number
  /** Tasks that last and have no run that their targets confirm, and the longest time for which one has had none. */
  readonly tasksWithoutRun: number
  readonly longestWithoutRunMs: number
}

/** Builds the summary of a cell. Capacity and bookings count only targets that accept new tasks. */
export function buildCellSummary (state: CellState): CellSummary {
  const targets = [...state.targets.values()]
  const usable = targets.filter((target) => acceptsWork(state, target))
  const ready = [...state.openSteps].filter((step) => step.ready)
  const unadvised = ready.filter((step) => needsAdvice(state, step) && !step.advice.hasResponse && !step.advice.requestPending)
  const waiting = ready.map((step) => ({ step, tasks: countStartableTasks(step, state.now) }))
  return {
    jobs: [...state.jobs.values()].filter((job) => job.active).length,
    deferredJobs: state.deferredJobs.size,
    heldJobBytes: Math.round(state.heldJobs.heldBytes),
    targets: targets.length,
    usableTargets: usable.length,
    capacityCpuMillis: total(usable.map(({ entry }) => entry.capacity.cpuMillis)),
    bookedCpuMillis: total(usable.map(({ booked }) => booked.cpuMillis)),
    capacityMemoryMiB: total(usable.map(({ entry }) => entry.capacity.memoryMiB)),
    bookedMemoryMiB: total(usable.map(({ booked }) => booked.memoryMiB)),
    runs: total(targets.map(({ runs }) => runs.size)),
    waitingTasks: total(waiting.map(({ tasks }) => tasks)),
    surplusTasks: total(waiting.filter(({ step }) => step.job.exceedsShare).map(({ tasks }) => tasks)),
    askingSteps: ready.filter((step) => step.advice.requestPending).length,
    unadvisedSteps: unadvised.length,
    longestUnadvisedMs: Math.round(Math.max(0, ...unadvised.map((step) => state.now - step.job.acceptedAt))),
    adviceBacklogMs: Math.round(state.adviceBacklog.backlogMs),
    tasksWithoutRun: state.lastingTasks.count,
    longestWithoutRunMs: Math.round(state.lastingTasks.computeLongestWaitMs(state.now))
  }
}

function total (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
