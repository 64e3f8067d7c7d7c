import { fits } from '../model/resources.ts'
import { increase, noAmounts } from './mutable-resources.ts'
import type { Cell } from './scheduler-state.ts'
import { lossOf, preempt, staysInside, stopToYield, yieldsAboveShare } from './preemption.ts'
import type { ShapeQueue } from './queue.ts'
import type { Task } from './task.ts'
import type { TeamState } from './team.ts'

/** Tasks for which room is reclaimed in one tick, as a part of the targets, at least and at most. */
const RECLAIMS_PART = 0.01
const LEAST_RECLAIMS = 4
const MOST_RECLAIMS = 16
/** Teams for which reclaim is tried in one tick. */
const ATTEMPTS_PER_TICK = 8
/** Part of the usual patience after which room is reclaimed for requests. */
const REQUEST_PATIENCE = 0.25
/** Queues of one team read for one that waits for room. */
const QUEUES_READ = 16
/** A grant may lag behind what is running after a takeover; only a team above its grant for longer is cut back. */
const OVER_GRANT_GRACE_MS = 5000

/** Reclaims lent capacity for teams that have waited below their entitled share. */
export function reclaimShares (cell: Cell): void {
  let left = Math.min(MOST_RECLAIMS, Math.max(LEAST_RECLAIMS, Math.floor(cell.fleet.targets.size * RECLAIMS_PART)))
  let attempts = ATTEMPTS_PER_TICK
  for (const team of inTurn(cell)) {
    const queue = starvedQueue(cell, team)
    if (queue === undefined) {
      team.starvedSince = undefined
      continue
    }
    team.starvedSince ??= cell.now
    if (attempts === 0 || cell.now - team.starvedSince < patienceMs(cell, queue)) continue
    cell.reclaimedFor = team
    attempts -= 1
    while (left > 0 && queue.head !== undefined && reclaimOne(cell, queue)) left -= 1
  }
}

/** All teams, beginning after the one for which the last tick reclaimed last. */
function inTurn (cell: Cell): readonly TeamState[] {
  const teams = [...cell.teams.teams.values()]
  const next = cell.reclaimedFor === undefined ? 0 : teams.indexOf(cell.reclaimedFor) + 1
  return [...teams.slice(next), ...teams.slice(0, next)]
}

/** A caller waits for a request, so room is reclaimed for it sooner. */
function patienceMs ({ profile }: Cell, { workClass }: ShapeQueue): number {
  return workClass === 'request' ? profile.reclaimAfterMs * REQUEST_PATIENCE : profile.reclaimAfterMs
}

function starvedQueue (cell: Cell, team: TeamState): ShapeQueue | undefined {
  if (team.share >= team.entitled) return undefined
  let read = 0
  let found: ShapeQueue | undefined
  for (const queue of team.queues.values()) {
    if (waitsForRoom(queue) && staysInside(cell, team, queue.shape.declared)) {
      if (queue.workClass === 'request') return queue
      found ??= queue
    }
    read += 1
    if (read === QUEUES_READ) return found
  }
  return found
}

function waitsForRoom ({ blockedBy }: ShapeQueue): boolean {
  return blockedBy === 'no-room' || blockedBy === 'urgent-reserve'
}

function reclaimOne (cell: Cell, { head, team, shape }: ShapeQueue): boolean {
  if (!staysInside(cell, team, shape.declared) || !cell.fitsGrant(team, shape.declared)) return false
  return preempt(cell, head!, { allowed: (task) => yieldsAboveShare(cell, task), cause: 'share-reclaimed' })
}

/** Stops tasks of teams that use more than their grant, least work lost first. */
export function enforceGrants (cell: Cell): void {
  for (const team of cell.teams.teams.values()) {
    if (!team.granted || fits(team.used, team.grant)) {
      team.overGrantSince = undefined
      continue
    }
    team.overGrantSince ??= cell.now
    if (cell.now - team.overGrantSince >= OVER_GRANT_GRACE_MS) cutBack(cell, team)
  }
}

/** Rare, so it may read all tasks. */
function cutBack (cell: Cell, team: TeamState): void {
  const left = noAmounts()
  increase(left, team.used, 1)
  increase(left, team.leaving, -1)
  if (fits(left, team.grant)) return
  const tasks = [...cell.tasks.values()]
    .filter((task) => task.job.team === team && task.yielding === true)
    .sort((one, other) => lossOf(cell, one) - lossOf(cell, other))
  for (const task of tasks) {
    if (fits(left, team.grant)) return
    if (task.state === 'stopping') continue
    const stopped: readonly Task[] = stopToYield(cell, task, 'over-limit')
    increase(left, task.job.work.resources, -stopped.length)
  }
}
