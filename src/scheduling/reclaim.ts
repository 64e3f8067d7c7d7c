import { fits } from '../model/resources.ts'
import { addScaled, createZeroResources } from './mutable-resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { estimateLossMs, claimByPreemption, isWithinShare, preemptTask, isReclaimable } from './preemption.ts'
import type { ShapeQueue } from './queue.ts'
import type { Task } from './task.ts'
import type { TeamState } from './team.ts'

/** Number of tasks for which capacity is reclaimed in one tick, as a ratio of the number of targets, with its bounds. */
const RECLAIMS_PER_TARGET_RATIO = 0.01
const MIN_RECLAIMS_PER_TICK = 4
const MAX_RECLAIMS_PER_TICK = 16
/** Maximum number of teams for which reclaiming is tried in one tick. */
const MAX_TEAMS_PER_TICK = 8
/** Ratio of the usual delay after which capacity is reclaimed for requests. */
const REQUEST_DELAY_RATIO = 0.25
/** Maximum number of queues of one team read to find one that waits for free capacity. */
const MAX_QUEUES_READ = 16
/** After a takeover a grant may lag behind the running tasks; only tasks of a team above its grant for longer are stopped. */
const OVER_GRANT_GRACE_MS = 5000

/** Reclaims lent capacity for teams that have waited below their entitled share. */
export function reclaimShares (state: SchedulerState): void {
  let remaining = Math.min(MAX_RECLAIMS_PER_TICK, Math.max(MIN_RECLAIMS_PER_TICK, Math.floor(state.fleet.targets.size * RECLAIMS_PER_TARGET_RATIO)))
  let attempts = MAX_TEAMS_PER_TICK
  for (const team of getTeamsInRotation(state)) {
    const queue = findStarvedQueue(state, team)
    if (queue === undefined) {
      team.starvedSince = undefined
      continue
    }
    team.starvedSince ??= state.now
    if (attempts === 0 || state.now - team.starvedSince < getReclaimDelayMs(state, queue)) continue
    state.lastReclaimTeam = team
    attempts -= 1
    while (remaining > 0 && queue.head !== undefined && reclaimForQueue(state, queue)) remaining -= 1
  }
}

/** Returns all teams, beginning after the one for which reclaiming was tried last. */
function getTeamsInRotation (state: SchedulerState): readonly TeamState[] {
  const teams = [...state.teams.byName.values()]
  const next = state.lastReclaimTeam === undefined ? 0 : teams.indexOf(state.lastReclaimTeam) + 1
  return [...teams.slice(next), ...teams.slice(0, next)]
}

/** Returns how long a queue must wait before capacity is reclaimed for it; less for requests, because their callers wait. */
function getReclaimDelayMs ({ profile }: SchedulerState, { workClass }: ShapeQueue): number {
  return workClass === 'request' ? profile.reclaimAfterMs * REQUEST_DELAY_RATIO : profile.reclaimAfterMs
}

function findStarvedQueue (state: SchedulerState, team: TeamState): ShapeQueue | undefined {
  if (team.share >= team.entitledShare) return undefined
  let readCount = 0
  let found: ShapeQueue | undefined
  for (const queue of team.queues.values()) {
    if (isBlockedByCapacity(queue) && isWithinShare(state, team, queue.shape.declared)) {
      if (queue.workClass === 'request') return queue
      found ??= queue
    }
    readCount += 1
    if (readCount === MAX_QUEUES_READ) return found
  }
  return found
}

function isBlockedByCapacity ({ blockedBy }: ShapeQueue): boolean {
  return blockedBy === 'no-room' || blockedBy === 'urgent-reserve'
}

function reclaimForQueue (state: SchedulerState, { head, team, shape }: ShapeQueue): boolean {
  if (!isWithinShare(state, team, shape.declared) || !state.fitsGrant(team, shape.declared)) return false
  return claimByPreemption(state, head!, { isAllowed: (task) => isReclaimable(state, task), cause: 'share-reclaimed' })
}

/** Preempts tasks of teams that use more than their grant; tasks with the least loss first. */
export function enforceGrants (state: SchedulerState): void {
  for (const team of state.teams.byName.values()) {
    if (!team.grantReceived || fits(team.used, team.grant)) {
      team.overGrantSince = undefined
      continue
    }
    team.overGrantSince ??= state.now
    if (state.now - team.overGrantSince >= OVER_GRANT_GRACE_MS) reduceToGrant(state, team)
  }
}

/** Preempts tasks of the team until its usage fits in its grant. This is rare, so it may read all tasks. */
function reduceToGrant (state: SchedulerState, team: TeamState): void {
  const remaining = createZeroResources()
  addScaled(remaining, team.used, 1)
  addScaled(remaining, team.stopping, -1)
  if (fits(remaining, team.grant)) return
  const tasks = [...state.tasks.values()]
    .filter((task) => task.job.team === team && task.preemptible === true)
    .sort((one, other) => estimateLossMs(state, one) - estimateLossMs(state, other))
  for (const task of tasks) {
    if (fits(remaining, team.grant)) return
    if (task.state === 'stopping') continue
    const stopped: readonly Task[] = preemptTask(state, task, 'over-limit')
    addScaled(remaining, task.job.work.resources, -stopped.length)
  }
}
