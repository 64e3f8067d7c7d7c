import type { CellState } from './cell-state.ts'
import { takesWork } from './placement.ts'
import { isStartable } from './startable.ts'

/** How full a cell is and what waits. Amounts in thousandths of a core and mebibytes. */
export type CellSummary = {
  readonly jobs: number
  readonly targets: number
  /** Targets that take new work. */
  readonly usableTargets: number
  readonly capacityCpuMillis: number
  readonly bookedCpuMillis: number
  readonly capacityMemoryMiB: number
  readonly bookedMemoryMiB: number
  readonly runs: number
  readonly waitingTasks: number
  /** Waiting tasks of jobs beyond their organisation's share. */
  readonly surplusTasks: number
  /** Steps that wait for an answer of the advisor. */
  readonly askingSteps: number
}

/** The summary of a cell; capacity counts targets that take new work only. */
export function summaryOf (state: CellState): CellSummary {
  const targets = [...state.targets.values()]
  const usable = targets.filter((target) => takesWork(state, target))
  const ready = [...state.open].filter((step) => step.ready)
  const waiting = ready.map((step) => ({ step, tasks: step.tasks.filter((task) => isStartable(task, state.now)).length }))
  return {
    jobs: [...state.jobs.values()].filter((job) => job.active).length,
    targets: targets.length,
    usableTargets: usable.length,
    capacityCpuMillis: total(usable.map(({ entry }) => entry.capacity.cpuMillis)),
    bookedCpuMillis: total(usable.map(({ booked }) => booked.cpuMillis)),
    capacityMemoryMiB: total(usable.map(({ entry }) => entry.capacity.memoryMiB)),
    bookedMemoryMiB: total(usable.map(({ booked }) => booked.memoryMiB)),
    runs: total(targets.map(({ runs }) => runs.size)),
    waitingTasks: total(waiting.map(({ tasks }) => tasks)),
    surplusTasks: total(waiting.filter(({ step }) => step.job.surplus).map(({ tasks }) => tasks)),
    askingSteps: ready.filter((step) => step.advice.asking).length
  }
}

function total (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
