import type { Demand } from '../job.ts'
import type { LiveRun } from '../live-run.ts'

/** Jobs whose time before their objectives differs by less than this are equally suitable, in milliseconds. */
const SLACK_BUCKET_MS = 2_000

/** A run that may be stopped. `slackMs`: time between the expected end of its job and the objective of the job. */
export type Victim = { readonly live: LiveRun, readonly demand: Demand, readonly slackMs: number }

/** Limits of a choice. `getAllowance`: how many runs of the job of a run may be stopped. */
export type VictimLimits = { readonly maxCount: number, readonly getAllowance: (live: LiveRun) => number }

/**
 * Chooses the runs to stop: first those whose jobs have the most time left, and of these as few and as small as cover what is
 * missing. If those within the limits do not cover it, returns what they free.
 *
 * @example
 * chooseVictims({ cpuMillis: 9_000, memoryMiB: 0, accelerators: 0 }, victims, { maxCount: 8, getAllowance: () => 1 })
 */
export function chooseVictims (missing: Demand, victims: readonly Victim[], { maxCount, getAllowance }: VictimLimits): readonly Victim[] {
  const left = [...victims].sort((one, other) => toSlackBucket(other) - toSlackBucket(one))
  const chosen: Victim[] = []
  let rest = missing
  while (!isCovered(rest) && left.length > 0 && chosen.length < maxCount) {
    const bucketSize = left.findIndex((victim) => toSlackBucket(victim) !== toSlackBucket(left[0]!))
    const [victim] = left.splice(findBest(rest, bucketSize === -1 ? left : left.slice(0, bucketSize)), 1)
    if (!frees(victim!.demand, rest) || countOfJob(chosen, victim!) >= getAllowance(victim!.live)) continue
    chosen.push(victim!)
    rest = subtractDemands(rest, victim!.demand)
  }
  return withoutUnneeded(missing, chosen)
}

/** Whether the demands of the victims together cover what is missing. */
export function coversMissing (missing: Demand, victims: readonly Victim[]): boolean {
  return isCovered(victims.reduce((rest, { demand }) => subtractDemands(rest, demand), missing))
}

/** Whether nothing is missing. */
export function isCovered ({ cpuMillis, memoryMiB, accelerators }: Demand): boolean {
  return cpuMillis <= 0 && memoryMiB <= 0 && accelerators <= 0
}

export function subtractDemands (left: Demand, right: Demand): Demand {
  return { cpuMillis: left.cpuMillis - right.cpuMillis, memoryMiB: left.memoryMiB - right.memoryMiB, accelerators: left.accelerators - right.accelerators }
}

function countOfJob (chosen: readonly Victim[], { live }: Victim): number {
  return chosen.filter((other) => other.live.task.step.job === live.task.step.job).length
}

/** Jobs in the same bucket are equally suitable; in a higher one, more time is left. */
export function toSlackBucket ({ slackMs }: Victim): number {
  return Math.floor(slackMs / SLACK_BUCKET_MS)
}

/** Index of the smallest that covers the rest alone, or of the largest. */
function findBest (rest: Demand, victims: readonly Victim[]): number {
  let best = 0
  for (let index = 1; index < victims.length; index++) {
    if (isBetter(rest, victims[index]!, victims[best]!)) best = index
  }
  return best
}

function isBetter (rest: Demand, one: Victim, other: Victim): boolean {
  const covers = isCovered(subtractDemands(rest, one.demand))
  if (covers !== isCovered(subtractDemands(rest, other.demand))) return covers
  return covers ? one.demand.cpuMillis < other.demand.cpuMillis : one.demand.cpuMillis > other.demand.cpuMillis
}

function frees (demand: Demand, rest: Demand): boolean {
  return (rest.cpuMillis > 0 && demand.cpuMillis > 0) || (rest.memoryMiB > 0 && demand.memoryMiB > 0) || (rest.accelerators > 0 && demand.accelerators > 0)
}

/** Leaves out the runs without which the others cover as much, those of jobs with the least time left first. */
function withoutUnneeded (missing: Demand, chosen: readonly Victim[]): readonly Victim[] {
  if (!coversMissing(missing, chosen)) return chosen
  return [...chosen].reverse().reduce<readonly Victim[]>((needed, victim) => {
    const others = needed.filter((other) => other !== victim)
    return coversMissing(missing, others) ? others : needed
  }, chosen)
}
