import { isUrgent } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { Demand } from '../job.ts'
import { NO_DEMAND, addDemands, maxDemand } from '../job.ts'
import { acceptsWork, countFreeSlots, isSuitable } from './target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import type { StepRun } from '../task.ts'

/** Ratio of a target's capacity that non-urgent tasks may use. */
export const NON_URGENT_CAPACITY_RATIO = 0.85

/** A task that lasts uses the reserve of a full pool only while there is room for it this many times. */
const LASTING_ROOM_FACTOR = 2

/** Ratio of the number of targets by which a walk advances, so that it visits the racks in turn. */
const STRIDE_RATIO = 0.618

/**
 * The targets of one pool that accept work, as of one event or start pass, with upper limits of what one of them has free.
 * Starts of the same pass only lower what is free, so that the limits hold until its end.
 */
export class OpenTargets {
  private readonly stride: number
  private mostlyFree: boolean | undefined
  /** Whether there is room for the tasks of a step that was last asked for, as of the last start. */
  private lastingRoom: { readonly step: StepRun, readonly isEnough: boolean } | undefined

  private constructor (readonly targets: readonly TargetState[], private readonly maxFree: Demand, private readonly maxFreeForNonUrgent: Demand) {
    this.stride = findStride(targets.length)
  }

  /**
   * Creates the list of one pool.
   *
   * @example
   * const open = OpenTargets.create(state, 'kit-assembly')
   * if (open.mayFit(state, step)) tryTargets(open.walk(hash))
   */
  static create (state: CellState, pool: string | undefined): OpenTargets {
    const targets: TargetState[] = []
    let maxFree = NO_DEMAND
    let maxFreeForNonUrgent = NO_DEMAND
    for (const target of state.targets.values()) {
      if (target.entry.pool !== pool || !acceptsWork(state, target)) continue
      targets.push(target)
      maxFree = maxDemand(maxFree, target.getFreeCapacity())
      maxFreeForNonUrgent = maxDemand(maxFreeForNonUrgent, getFreeForNonUrgent(target))
    }
    state.passWork.targets += state.targets.size
    return new OpenTargets(targets, maxFree, maxFreeForNonUrgent)
  }

  /** False if certainly no target has room for a task of the step. */
  mayFit (state: CellState, step: StepRun): boolean {
    return fitsFree(step, isUrgent(state, step.job.definition) || this.mayUseReserve(state, step) ? this.maxFree : this.maxFreeForNonUrgent)
  }

  /** Whether less than half of the processors and of the memory of all these targets was booked when this was first asked. */
  get isMostlyFree (): boolean {
    this.mostlyFree ??= computeMostlyFree(this.targets)
    return this.mostlyFree
  }

  /**
   * Whether tasks of a step that is not urgent may use what is reserved for urgent tasks on each target. A job that does not
   * run may: where tasks that last use the rest, it would wait for good in a pool that is mostly free. A task that lasts and
   * has waited too long may in any pool, but leaves room for one more.
   */
  mayUseReserve (state: CellState, step: StepRun): boolean {
    if (this.isMostlyFree) return step.isIdle
    return state.lastingPrecedence.isOverdue(step) && this.hasLastingRoom(step)
  }

  /** To be called after a start: there is less room than before. */
  forgetRoom (): void {
    this.lastingRoom = undefined
  }

  /** Whether there is room for a task that lasts, or for its gang, and as much again. */
  hasLastingRoom (step: StepRun): boolean {
    if (this.lastingRoom?.step !== step) this.lastingRoom = { step, isEnough: this.findLastingRoom(step) }
    return this.lastingRoom.isEnough
  }

  private findLastingRoom (step: StepRun): boolean {
    const tasks = step.spec.gang ? step.spec.count : 1
    return fitsFree(step, this.maxFree) && this.countSlots(step) >= LASTING_ROOM_FACTOR * tasks
  }

  /** Counts the tasks of the step that fit the targets. Advice is not checked. */
  private countSlots (step: StepRun): number {
    const suitable = this.targets.filter((target) => isSuitable(target, step))
    return suitable.reduce((sum, target) => sum + Math.max(0, countFreeSlots(target, step)), 0)
  }

  /** Visits each target once, in an order that depends on `seed`: walks with different seeds start at different targets. */
  * walk (seed: number): Iterable<TargetState> {
    const { targets } = this
    let index = seed % Math.max(1, targets.length)
    for (let visited = 0; visited < targets.length; visited += 1) {
      yield targets[index]!
      index = (index + this.stride) % targets.length
    }
  }
}

/** Gets the open targets of a pool. The lists are made once for each event and each start pass. */
export function getOpenTargets (state: CellState, pool: string | undefined): OpenTargets {
  const known = state.openTargets.get(pool)
  if (known !== undefined) return known
  const open = OpenTargets.create(state, pool)
  state.openTargets.set(pool, open)
  return open
}

/** Free capacity of a target for non-urgent tasks. The first of them may use the reserve for urgent tasks. */
function getFreeForNonUrgent (target: TargetState): Demand {
  const free = target.getFreeCapacity()
  const { capacity } = target.entry
  const { cpuMillis, memoryMiB } = target.bookedNonUrgent
  return {
    cpuMillis: cpuMillis === 0 ? free.cpuMillis : Math.min(free.cpuMillis, capacity.cpuMillis * NON_URGENT_CAPACITY_RATIO - cpuMillis),
    memoryMiB: memoryMiB === 0 ? free.memoryMiB : Math.min(free.memoryMiB, capacity.memoryMiB * NON_URGENT_CAPACITY_RATIO - memoryMiB),
    accelerators: free.accelerators
  }
}

function fitsFree ({ spec: { demand, fills } }: StepRun, free: Demand): boolean {
  return (fills || demand.cpuMillis <= free.cpuMillis) && demand.memoryMiB <= free.memoryMiB && demand.accelerators <= free.accelerators
}

function computeMostlyFree (targets: readonly TargetState[]): boolean {
  const capacity = targets.reduce((sum, { entry }) => addDemands(sum, entry.capacity), NO_DEMAND)
  const booked = targets.reduce((sum, target) => addDemands(sum, target.booked), NO_DEMAND)
  return booked.cpuMillis < capacity.cpuMillis / 2 && booked.memoryMiB < capacity.memoryMiB / 2
}

/** Finds a stride that has no common divisor with the number of targets, so that a walk reaches all of them. */
function findStride (count: number): number {
  let stride = Math.max(1, Math.floor(count * STRIDE_RATIO))
  while (computeGreatestCommonDivisor(stride, count) > 1) stride += 1
  return stride
}

function computeGreatestCommonDivisor (left: number, right: number): number {
  return right === 0 ? left : computeGreatestCommonDivisor(right, left % right)
}
