import { getUsage } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { Demand } from '../job.ts'
import { NO_DEMAND, addDemands } from '../job.ts'
import type { LiveRun } from '../live-run.ts'
import { countStartableTasks } from '../order/startable.ts'
import { isOverCapacity } from '../room/target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import type { StepRun } from '../task.ts'
import { chooseVictims, coversMissing, isCovered, subtractDemands, toSlackBucket } from './choose-victims.ts'
import type { Victim } from './choose-victims.ts'
import type { StopPlan } from './make-room.ts'
import type { WaitingStep } from './preemption.ts'
import { estimateWaitMs } from './time-left.ts'
import { findUsableTargets } from './usable-targets.ts'
import { MIN_GAIN_MS, endsSoon, findVictim } from './victims.ts'

/** Number of targets that one search examines, once for each waiting task, so that its time is bounded. */
const SEARCH_BUDGET_TARGETS = 3_000
/** A target of which runs are chosen counts this many times: that takes longer. */
const CHOICE_COST = 8
/** Number of tasks of one step that one search makes room for. */
const MAX_TASKS_OF_STEP = 16

/** Room of a target that a search may still hand out, with what becomes free soon, and its runs that may be stopped. */
type TargetRoom = { available: Demand, victims: readonly Victim[] }

/** Runs of one target whose stop makes room for one task. */
type Choice = { readonly target: TargetState, readonly victims: readonly Victim[], readonly gainMs: number }

/** Makes room for the tasks of urgent steps on the targets that they may use, one task after the other. */
export function makeRoomOnTargets (state: CellState, waiting: readonly WaitingStep[], carryOut: (plan: StopPlan) => void): void {
  const search = TargetRoomSearch.create(state)
  for (const { step } of waiting) {
    if (search.isExhausted || state.preemption.getAllowedStops(state.now) === 0) return
    search.serve(step, carryOut)
  }
}

/** One search over the targets. What it finds for one task is not found for the next. */
class TargetRoomSearch {
  private readonly rooms = new Map<TargetState, TargetRoom>()
  /** By organisation, the demand of the tasks that this search has served. */
  private readonly served = new Map<string, Demand>()
  private budget = SEARCH_BUDGET_TARGETS

  private constructor (private readonly state: CellState) {}

  static create (state: CellState): TargetRoomSearch {
    return new TargetRoomSearch(state)
  }

  get isExhausted (): boolean {
    return this.budget <= 0
  }

  /** Finds room for the tasks of a step that its maximum allows. Tasks for which room is free, or soon is, need no stop. */
  serve (step: StepRun, carryOut: (plan: StopPlan) => void): void {
    const { state } = this
    // The members of a gang need room at the same time, on targets that depend on each other.
    if (step.spec.gang) return
    const usable = findUsableTargets(state, step)
    this.budget -= usable.length
    const countByTarget = new Map<TargetState, number>()
    const tasks = Math.min(MAX_TASKS_OF_STEP, countStartableTasks(step, state.now))
    for (let index = 0; index < tasks && !this.isExhausted; index++) {
      if (!this.isWithinMaximum(step)) return
      const open = usable.filter((target) => isWithinPerTargetLimit(target, step, countByTarget.get(target) ?? 0))
      this.budget -= open.length
      const target = open.find((candidate) => isCovered(this.computeMissing(candidate, step))) ?? this.makeRoomFor(step, open, carryOut)
      if (target === undefined) return
      this.take(target, step)
      countByTarget.set(target, (countByTarget.get(target) ?? 0) + 1)
    }
  }

  private makeRoomFor (step: StepRun, targets: readonly TargetState[], carryOut: (plan: StopPlan) => void): TargetState | undefined {
    const { state } = this
    const best = this.findBest(step, targets)
    if (best === undefined || best.victims.length > state.preemption.getAllowedStops(state.now)) return undefined
    const room = this.getRoom(best.target)
    for (const { demand } of best.victims) room.available = addDemands(room.available, demand)
    room.victims = room.victims.filter((victim) => !best.victims.includes(victim))
    carryOut({ victims: best.victims, steps: [step], cause: 'no-room', gainMs: best.gainMs })
    return best.target
  }

  /** Finds the target on which the fewest runs must be stopped; of these, jobs with the most time left come first, then the smallest. */
  private findBest (step: StepRun, targets: readonly TargetState[]): Choice | undefined {
    let best: Choice | undefined
    for (const target of targets) {
      const choice = this.choose(target, step)
      if (choice !== undefined && (best === undefined || compareChoices(choice, best) < 0)) best = choice
    }
    return best
  }

  private choose (target: TargetState, step: StepRun): Choice | undefined {
    const { victims } = this.getRoom(target)
    if (victims.length === 0 || this.isExhausted) return undefined
    this.budget -= CHOICE_COST
    const missing = this.computeMissing(target, step)
    const chosen = chooseVictims(missing, victims, { maxCount: this.state.preemption.getAllowedStops(this.state.now), getAllowance: ({ task }) => this.state.preemption.getAllowance(task.step) })
    if (!coversMissing(missing, chosen)) return undefined
    const gainMs = estimateWaitMs(this.findLasting(target), missing, this.state.now) - this.state.preemption.stopMs
    return gainMs < MIN_GAIN_MS ? undefined : { target, victims: chosen, gainMs }
  }

  /** The runs of a target that do not end soon. */
  private findLasting (target: TargetState): readonly LiveRun[] {
    return [...target.runs.values()].filter((live) => !endsSoon(this.state, live))
  }

  private computeMissing (target: TargetState, { spec: { demand } }: StepRun): Demand {
    return subtractDemands(demand, this.getRoom(target).available)
  }

  private take (target: TargetState, step: StepRun): void {
    const room = this.getRoom(target)
    const { organisation } = step.job.definition
    room.available = subtractDemands(room.available, step.spec.demand)
    this.served.set(organisation, addDemands(this.served.get(organisation) ?? NO_DEMAND, step.spec.demand))
  }

  private getRoom (target: TargetState): TargetRoom {
    const known = this.rooms.get(target)
    if (known !== undefined) return known
    const runs = [...target.runs.values()]
    const ending = runs.filter((live) => endsSoon(this.state, live) && !live.task.step.spec.fills)
    const room = {
      available: ending.reduce((sum, live) => addDemands(sum, live.task.step.spec.demand), target.getFreeCapacity()),
      victims: isOverCapacity(target) ? [] : runs.flatMap((live) => findVictim(this.state, live) ?? [])
    }
    this.rooms.set(target, room)
    return room
  }

  /** Whether the maximum lets one more task of the step start, beside those that this search has served. */
  private isWithinMaximum ({ job: { definition: { organisation } }, spec: { demand } }: StepRun): boolean {
    const { state } = this
    const maximum = state.organisations.find(organisation)?.maximum ?? NO_DEMAND
    const used = [getUsage(state, organisation), state.uncertainUsage, this.served.get(organisation) ?? NO_DEMAND, demand].reduce(addDemands)
    const fits = (amount: number, limit: number): boolean => limit === 0 || amount <= limit
    return fits(used.cpuMillis, maximum.cpuMillis) && fits(used.memoryMiB, maximum.memoryMiB) && fits(used.accelerators, maximum.accelerators)
  }
}

function compareChoices (left: Choice, right: Choice): number {
  return left.victims.length - right.victims.length || minSlackBucket(right) - minSlackBucket(left) || sumCpu(left) - sumCpu(right)
}

function sumCpu ({ victims }: Choice): number {
  return victims.reduce((sum, { demand }) => sum + demand.cpuMillis, 0)
}

function minSlackBucket ({ victims }: Choice): number {
  return Math.min(...victims.map(toSlackBucket))
}

function isWithinPerTargetLimit (target: TargetState, step: StepRun, planned: number): boolean {
  const limit = step.spec.perTargetLimit
  if (limit === 0) return true
  const runs = [...target.runs.values()].filter((live) => live.task.step === step)
  return runs.length + planned < limit
}
