import type { Resources } from '../model/resources.ts'
import { fitsWithinLimit, addScaled, createZeroResources } from './mutable-resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { getLatestStartTime } from './deadlines.ts'
import { getOrCreateFamily, MIN_MEASURED_RUNS } from './family.ts'
import { acceptsWork, type TargetState } from './fleet.ts'
import { recordDecision } from './decision-history.ts'
import { bookTaskAtIndex, startTask } from './placement.ts'
import { type Job, addWaitingIndex, dequeueIndex, type Task } from './task.ts'
import type { TeamState } from './team.ts'

/** A claim whose capacity is not free after this time is cancelled, and its task is placed again. */
const CLAIM_TIMEOUT_MS = 8000

/**
 * Books the next waiting task of the job on a target whose capacity is still in use. The task starts when preempted
 * tasks have ended; until then no other work can book that capacity.
 *
 * @example
 * claimNextTask(state, job, target, 'urgent-work')
 */
export function claimNextTask (state: SchedulerState, job: Job, target: TargetState, reason: string, amount?: Resources): Task | undefined {
  const index = dequeueIndex(job)
  if (index === undefined) return undefined
  const task = bookTaskAtIndex(state, job, index, target, amount)
  state.setClaim(task, true)
  recordDecision(task, state.now, 'room-reserved', `on ${target.id}, ${reason}`)
  return task
}

/** Starts the claims on a target whose capacity is free now. */
export function startReadyClaims (state: SchedulerState, target: TargetState): void {
  if (state.claims.size === 0) return
  for (const task of target.tasks) {
    if (task.state === 'claimed') startClaimIfFree(state, task)
  }
}

/** Starts the claims of a team that can start now, after its grant has changed. */
export function startTeamClaims (state: SchedulerState, team: TeamState): void {
  for (const task of state.claims) {
    if (task.job.team === team) startClaimIfFree(state, task)
  }
}

function startClaimIfFree (state: SchedulerState, task: Task): void {
  const { work } = task.job
  if (work.kind === 'gang' || !isClaimFree(task)) return
  const latestStart = getLatestStartTime(state, work)
  if (latestStart !== undefined && latestStart < state.now) cancelClaim(state, task)
  else startTask(state, task)
}

/** Whether the capacity of a claim is free on its target and in the grant of its team; other claims are not counted. */
export function isClaimFree ({ target, booked, job: { team, work } }: Task): boolean {
  return acceptsWork(target) &&
    fitsWithinLimit(booked, subtractResources(target.booked, target.claimed), target.target.capacity) &&
    fitsWithinLimit(work.resources, subtractResources(team.used, team.claimed), team.grant)
}

function subtractResources (total: Parameters<typeof addScaled>[1], part: Parameters<typeof addScaled>[1]): ReturnType<typeof createZeroResources> {
  const rest = createZeroResources()
  addScaled(rest, total, 1)
  addScaled(rest, part, -1)
  return rest
}

/** Cancels claims that have expired or whose target accepts no work, and starts those whose capacity is free. */
export function updateClaims (state: SchedulerState): void {
  for (const task of [...state.claims]) {
    if (task.job.work.kind === 'gang') continue
    if (!acceptsWork(task.target) || state.now > (task.claimExpiresAt ?? task.startedAt + CLAIM_TIMEOUT_MS)) cancelClaim(state, task)
    else startClaimIfFree(state, task)
  }
}

/** Puts the task of a claim back into its queue and lets other work use the capacity. */
export function cancelClaim (state: SchedulerState, task: Task): void {
  const { target } = task
  releaseClaim(state, task)
  state.readiness.unblockForTarget(target)
}

/** Like `cancelClaim`, but does not unblock other work for the capacity. */
export function releaseClaim (state: SchedulerState, task: Task): void {
  const { job, target } = task
  state.releaseTask(task)
  state.decisionHistory.recordEnded(task.id, task.decisions, 'room-reservation-ended', `on ${target.id}`)
  addWaitingIndex(job, task.index)
  state.changeWaiting(job, 1)
  state.enqueue(job, true)
}

/** Whether the average of enough measured runs of the family is at most `maxRunMs`. */
export function hasShortRuns (state: SchedulerState, family: string, maxRunMs: number): boolean {
  const { runs, averageRunMs } = getOrCreateFamily(state, family)
  return runs >= MIN_MEASURED_RUNS && averageRunMs <= maxRunMs
}
