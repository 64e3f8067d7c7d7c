import type { Resources } from '../model/resources.ts'
import { fitsBeside, increase, noAmounts } from './mutable-resources.ts'
import type { Cell } from './scheduler-state.ts'
import { latestStart } from './deadlines.ts'
import { familyOf, RUNS_NEEDED } from './family.ts'
import { takesWork, type TargetState } from './fleet.ts'
import { record } from './decision-history.ts'
import { bookIndex, sendStart } from './placement.ts'
import { type Job, returnIndex, takeIndex, type Task } from './task.ts'
import type { TeamState } from './team.ts'

/** A claim whose room has not become free by then is given up, and another place is sought. */
const CLAIM_TIMEOUT_MS = 8000

/**
 * Books the next waiting task of the job on a target that has no room yet. It starts when tasks that yield have ended;
 * until then nothing else can take the room.
 *
 * @example
 * claimNext(cell, job, target, 'urgent-work')
 */
export function claimNext (cell: Cell, job: Job, target: TargetState, reason: string, amount?: Resources): Task | undefined {
  const index = takeIndex(job)
  if (index === undefined) return undefined
  const task = bookIndex(cell, job, index, target, amount)
  cell.setClaim(task, true)
  record(task, cell.now, 'room-reserved', `on ${target.id}, ${reason}`)
  return task
}

/** Starts the claims on a target whose room is free now. */
export function startClaims (cell: Cell, target: TargetState): void {
  if (cell.claims.size === 0) return
  for (const task of target.tasks) {
    if (task.state === 'claimed') startWhenFree(cell, task)
  }
}

/** Starts the claims of a team whose grant has changed. */
export function startTeamClaims (cell: Cell, team: TeamState): void {
  for (const task of cell.claims) {
    if (task.job.team === team) startWhenFree(cell, task)
  }
}

function startWhenFree (cell: Cell, task: Task): void {
  const { work } = task.job
  if (work.kind === 'gang' || !isFree(task)) return
  const latest = latestStart(cell, work)
  if (latest !== undefined && latest < cell.now) dropClaim(cell, task)
  else sendStart(cell, task)
}

/** Whether the room of a claim is free on its target and in the grant of its team, other claims not counted. */
export function isFree ({ target, booked, job: { team, work } }: Task): boolean {
  return takesWork(target) &&
    fitsBeside(booked, without(target.booked, target.claimed), target.target.capacity) &&
    fitsBeside(work.resources, without(team.used, team.claimed), team.grant)
}

function without (total: Parameters<typeof increase>[1], part: Parameters<typeof increase>[1]): ReturnType<typeof noAmounts> {
  const rest = noAmounts()
  increase(rest, total, 1)
  increase(rest, part, -1)
  return rest
}

/** Gives up claims that cannot start any more and starts those that can. */
export function renewClaims (cell: Cell): void {
  for (const task of [...cell.claims]) {
    if (task.job.work.kind === 'gang') continue
    if (!takesWork(task.target) || cell.now > (task.claimUntil ?? task.startedAt + CLAIM_TIMEOUT_MS)) dropClaim(cell, task)
    else startWhenFree(cell, task)
  }
}

/** Puts the task of a claim back into its queue and gives its room back. */
export function dropClaim (cell: Cell, task: Task): void {
  const { target } = task
  releaseClaim(cell, task)
  cell.wakeForTarget(target)
}

/** Like `dropClaim`, without letting other work try the room. */
export function releaseClaim (cell: Cell, task: Task): void {
  const { job, target } = task
  cell.releaseTask(task)
  cell.journal.keep(task.id, task.decisions, 'room-reservation-ended', `on ${target.id}`)
  returnIndex(job, task.index)
  cell.changeWaiting(job, 1)
  cell.enqueue(job, true)
}

/** Whether measured runs of the family are at most this long. */
export function isShort (cell: Cell, family: string, longestMs: number): boolean {
  const { runs, averageRunMs } = familyOf(cell, family)
  return runs >= RUNS_NEEDED && averageRunMs <= longestMs
}
