import { findQueue, getUsage } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { Demand } from '../job.ts'
import { NO_DEMAND, addDemands } from '../job.ts'
import type { LiveRun } from '../live-run.ts'
import { countStartableTasks } from '../order/startable.ts'
import { countFreeSlots } from '../room/target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import type { StepRun } from '../task.ts'
import { chooseVictims, isCovered, subtractDemands } from './choose-victims.ts'
import type { StopPlan } from './make-room.ts'
import type { WaitingStep } from './preemption.ts'
import { estimateWaitMs } from './time-left.ts'
import { findUsableTargets } from './usable-targets.ts'
import { MIN_GAIN_MS, endsSoon, findVictim } from './victims.ts'

/** Number of steps of one organisation that one search makes room for: they need more than it may stop. */
const MAX_SERVED_STEPS = 64

/** Makes room in the maxima of the organisations whose urgent steps wait for it, by runs of the same organisation and pool. */
export function makeRoomInMaxima (state: CellState, waiting: readonly WaitingStep[], carryOut: (plan: StopPlan) => void): void {
  // Runs that are not known here count towards every organisation, and stops do not end them.
  if (waiting.length === 0 || !isCovered(state.uncertainUsage)) return
  const steps = groupByOrganisation(state, waiting)
  const runs = findRunsOf(state, steps)
  for (const [organisation, waitingSteps] of steps) {
    const plan = planForOrganisation(state, { organisation, steps: waitingSteps, runs: runs.get(organisation) ?? [] })
    if (plan !== undefined) carryOut(plan)
  }
}

/** Groups the steps whose organisation has runs that may be stopped. */
function groupByOrganisation (state: CellState, waiting: readonly WaitingStep[]): ReadonlyMap<string, readonly StepRun[]> {
  const groups = new Map<string, StepRun[]>()
  for (const { step } of waiting) {
    const { organisation } = step.job.definition
    if ((state.batchRuns.get(organisation) ?? 0) === 0) continue
    const group = groups.get(organisation)
    if (group === undefined) groups.set(organisation, [step])
    else group.push(step)
  }
  return groups
}

/** Finds the runs of some organisations in one walk over all targets. */
function findRunsOf (state: CellState, organisations: ReadonlyMap<string, unknown>): ReadonlyMap<string, readonly LiveRun[]> {
  const runs = new Map<string, LiveRun[]>([...organisations.keys()].map((organisation) => [organisation, []]))
  for (const target of state.targets.values()) {
    for (const live of target.runs.values()) runs.get(live.task.step.job.definition.organisation)?.push(live)
  }
  return runs
}

/** An organisation at its maximum: its urgent steps that wait for that, and its runs. */
type OrganisationWait = { readonly organisation: string, readonly steps: readonly StepRun[], readonly runs: readonly LiveRun[] }

function planForOrganisation (state: CellState, { organisation, steps, runs }: OrganisationWait): StopPlan | undefined {
  const maximum = state.organisations.find(organisation)?.maximum
  if (maximum === undefined) return undefined
  const served = steps.filter(({ spec }) => fitsMaximum(spec.demand, maximum)).slice(0, MAX_SERVED_STEPS)
  const [first] = served
  if (first === undefined) return undefined
  const candidates = runs.flatMap((live) => findVictim(state, live) ?? []).filter(({ live }) => live.target.entry.pool === findQueue(state, first.job.definition)?.pool)
  if (candidates.length === 0) return undefined
  const { wanted, victimTargets } = findWanted(state, served)
  const missing = computeMissing(state, { organisation, runs, maximum }, wanted)
  const victims = chooseVictims(missing, victimTargets === undefined ? candidates : candidates.filter(({ live }) => victimTargets.has(live.target)), { maxCount: state.preemption.getAllowedStops(state.now), getAllowance: ({ task }) => state.preemption.getAllowance(task.step) })
  if (victims.length === 0) return undefined
  const freed = minDemand(missing, victims.reduce((sum, { demand }) => addDemands(sum, demand), NO_DEMAND))
  const gainMs = estimateWaitMs(runs.filter((live) => !endsSoon(state, live)), freed, state.now) - state.preemption.stopMs
  return gainMs < MIN_GAIN_MS ? undefined : { victims, steps: served, cause: 'maximum', gainMs }
}

function fitsMaximum (demand: Demand, maximum: Demand): boolean {
  const fits = (amount: number, limit: number): boolean => limit === 0 || amount <= limit
  return fits(demand.cpuMillis, maximum.cpuMillis) && fits(demand.memoryMiB, maximum.memoryMiB) && fits(demand.accelerators, maximum.accelerators)
}

/**
 * Demand of the tasks that could start if the maximum allowed them. While the targets that the first step may use have room for
 * none, only runs on these targets help.
 */
function findWanted (state: CellState, steps: readonly StepRun[]): { readonly wanted: Demand, readonly victimTargets: ReadonlySet<TargetState> | undefined } {
  const usable = findUsableTargets(state, steps[0]!)
  const hasRoom = usable.some((target) => countFreeSlots(target, steps[0]!) > 0)
  const wanted = steps.reduce((sum, step) => addDemands(sum, multiplyDemand(step.spec.demand, countStartableTasks(step, state.now))), NO_DEMAND)
  return { wanted, victimTargets: hasRoom ? undefined : new Set(usable) }
}

/** What is missing for the wanted demand, beside what becomes free about as soon by itself; no limit leaves nothing missing. */
function computeMissing (state: CellState, { organisation, runs, maximum }: { readonly organisation: string, readonly runs: readonly LiveRun[], readonly maximum: Demand }, wanted: Demand): Demand {
  const ending = runs.filter((live) => endsSoon(state, live)).reduce((sum, live) => addDemands(sum, live.task.step.spec.demand), NO_DEMAND)
  const over = subtractDemands(addDemands(subtractDemands(getUsage(state, organisation), ending), wanted), maximum)
  return {
    cpuMillis: maximum.cpuMillis === 0 ? 0 : over.cpuMillis,
    memoryMiB: maximum.memoryMiB === 0 ? 0 : over.memoryMiB,
    accelerators: maximum.accelerators === 0 ? 0 : over.accelerators
  }
}

function minDemand (left: Demand, right: Demand): Demand {
  return { cpuMillis: Math.min(left.cpuMillis, right.cpuMillis), memoryMiB: Math.min(left.memoryMiB, right.memoryMiB), accelerators: Math.min(left.accelerators, right.accelerators) }
}

function multiplyDemand ({ cpuMillis, memoryMiB, accelerators }: Demand, factor: number): Demand {
  return { cpuMillis: cpuMillis * factor, memoryMiB: memoryMiB * factor, accelerators: accelerators * factor }
}
