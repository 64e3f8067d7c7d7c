import { assertNever } from '../../util/assert-never.ts'
import { findQueue, getUsage } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import { getOpenTargets } from '../room/open-targets.ts'
import { isSuitable } from '../room/target-acceptance.ts'
import { acceptsTaskOf, hasReservedRoom } from '../room/task-acceptance.ts'
import type { TaskWait } from './task-wait.ts'
import type { StepRun, Task } from '../task.ts'
import { findUnlistedTargets } from '../takeover/unlisted-targets.ts'

/** Number of ids in a list of targets; how many there are is a field of its own. */
const MAX_LISTED_IDS = 5

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>

/**
 * Formats why a task has no run. `atMostMs`: when that ends at the latest, where it is known and nothing else changes.
 *
 * @example
 * formatTaskWait(state, task, { type: 'refused', remainingMs: 400 })
 * // { task: 'a.0.0.1', reason: 'refused', restored: false, earlierRunsPossible: false, atMostMs: 400, refusedBy: 't1', refusals: 1 }
 */
export function formatTaskWait (state: CellState, task: Task, wait: TaskWait): LogFields {
  const common = { task: task.key, reason: wait.type, restored: task.step.job.restored, earlierRunsPossible: state.earlierRunsPossible }
  return { ...common, ...formatReason(state, task, wait) }
}

function formatReason (state: CellState, task: Task, wait: TaskWait): LogFields {
  const { step } = task
  switch (wait.type) {
    case 'earlier-runs': return formatTargets(findUnlistedTargets(state))
    case 'held-back': return formatTargets([...wait.targets])
    case 'silent-target': return { ...formatRun(state, wait.live), ...Number.isFinite(wait.remainingMs) && { atMostMs: Math.ceil(wait.remainingMs) } }
    case 'lease-unconfirmed':
    case 'restart-unconfirmed': return { ...formatRun(state, wait.live), ...formatAlone(state) }
    case 'starting':
    case 'stopping': return { ...formatRun(state, wait.live), sends: wait.live.sendCount, answered: wait.live.respondedAt !== undefined }
    case 'gang-member': return { member: wait.member.key }
    case 'refused': return { atMostMs: Math.ceil(wait.remainingMs), refusedBy: task.refusal?.target ?? '', refusals: task.refusal?.count ?? 0 }
    case 'unknown-queue': return { queue: step.job.definition.queue, configured: state.configuration !== undefined }
    case 'maximum':
    case 'reserve':
    case 'share': return formatMaximum(state, step)
    case 'advice-pending': return { channels: state.pendingAdvice.channels }
    case 'no-advice-channel': return { channels: state.pendingAdvice.channels, channelWaitMs: Math.round(state.now - (step.advice.waitsForChannelSince ?? state.now)), exceedsShare: step.job.exceedsShare }
    case 'no-ticket':
    case 'no-room': return formatRoom(state, step)
    default: return assertNever(wait)
  }
}

/**
 * Formats the ids of targets, the first few of them.
 *
 * @example
 * formatTargets(['t1', 't2']) // { targetCount: 2, targets: 't1,t2' }
 */
export function formatTargets (ids: readonly string[]): LogFields {
  return { targetCount: ids.length, targets: ids.slice(0, MAX_LISTED_IDS).join(',') }
}

function formatRun ({ now }: CellState, { target, run, carriedOver }: LiveRun): LogFields {
  const { id, reachable, listUnanswered, processEnded, lastHeardAt } = target
  return { target: id, run, silentMs: Math.round(now - lastHeardAt), unanswered: !reachable || listUnanswered, processEnded, restarted: carriedOver }
}

/** How long ago this owner was last certainly alone; left out if nobody else can be one. */
function formatAlone ({ now, aloneUntil }: CellState): LogFields {
  return Number.isFinite(aloneUntil) ? { aloneMsAgo: Math.round(now - aloneUntil) } : {}
}

function formatMaximum (state: CellState, { job }: StepRun): LogFields {
  const { organisation } = job.definition
  return {
    organisation,
    usedCpuMillis: getUsage(state, organisation).cpuMillis,
    uncertainCpuMillis: state.uncertainUsage.cpuMillis,
    maximumCpuMillis: state.organisations.find(organisation)?.maximum.cpuMillis ?? 0
  }
}

/** Counts the targets of the pool that accept work, those with room, and those with room that is kept for urgent tasks. */
function formatRoom (state: CellState, step: StepRun): LogFields {
  const open = getOpenTargets(state, findQueue(state, step.job.definition)?.pool).targets
  const suitable = open.filter((target) => isSuitable(target, step))
  return {
    openTargets: open.length,
    targetsWithRoom: suitable.filter((target) => acceptsTaskOf(state, target, step)).length,
    targetsWithReservedRoom: suitable.filter((target) => hasReservedRoom(state, target, step)).length,
    allowedTargets: [...state.targets.keys()].filter((id) => step.advice.isAllowed(id)).length,
    tickets: step.advice.findTargetsWithTicket(state.now).length
  }
}
