import { parseTaskIndex, parseWorkId, type TaskId } from '../model/ids.ts'
import type { Explanation, JobState, JobStatus, GroupRequest, GroupResponse } from '../model/group-request.ts'
import { taskCount } from '../model/work.ts'
import { assertNever } from '../util/assert-never.ts'
import { refuseWork } from './responses.ts'
import { commitJobs } from './commits.ts'
import { finishJobIfComplete, finishWork } from './completions.ts'
import type { GroupEvent } from './event.ts'
import { applySchedulerEvent } from './apply-scheduler-event.ts'
import { isDefinedService } from './services.ts'
import type { GroupState } from './state.ts'
import { hasFinalResult, type WorkEntry } from './work-entry.ts'

type GroupRequestEvent = Extract<GroupEvent, { type: 'group-requested' }>

/**
 * Handles a request about work of the group or about the group itself.
 *
 * @example
 * handleGroupRequest(state, { type: 'group-requested', now, from, nonce, request: { type: 'overview' } })
 */
export function handleGroupRequest (state: GroupState, event: GroupRequestEvent): void {
  if (!state.recovery.ready) return sendGroupResponse(state, event, { type: 'not-owner' })
  const { request } = event
  switch (request.type) {
    case 'status': return sendGroupResponse(state, event, { type: 'status', status: getJobStatus(state, request.work) })
    case 'explain': return sendGroupResponse(state, event, { type: 'explain', explanation: explainTask(state, request.task) })
    case 'overview': return sendGroupResponse(state, event, { type: 'overview', overview: state.scheduler.overview(state.group) })
    case 'cancel': return handleCancel(state, event, request)
    case 'cancel-matching': return handleCancelMatching(state, event, request)
    default: return assertNever(request)
  }
}

/**
 * Cancels work: removes its waiting tasks and stops its running ones.
 *
 * @example
 * cancelWork(state, now, entry)
 */
export function cancelWork (state: GroupState, now: number, entry: WorkEntry): void {
  entry.cancelled = true
  applySchedulerEvent(state, { type: 'work-cancelled', now, work: entry.work.id })
  if (entry.work.kind === 'request') {
    if (entry.activeTasks.size > 0) return
    refuseWork(state, entry, { reason: 'cancelled' })
    finishWork(state, now, entry)
    return
  }
  finishJobIfComplete(state, now, entry)
}

/**
 * Sends the response to a group request.
 *
 * @example
 * sendGroupResponse(state, event, { type: 'not-owner' })
 */
export function sendGroupResponse (state: GroupState, request: { readonly from: string, readonly nonce: string }, response: GroupResponse): void {
  state.outbox.push({ type: 'send', to: request.from, message: { type: 'reply', nonce: request.nonce, reply: response } })
}

function handleCancel (state: GroupState, event: GroupRequestEvent, request: Extract<GroupRequest, { type: 'cancel' }>): void {
  const entry = state.workEntries.get(request.work)
  if (entry === undefined) return sendGroupResponse(state, event, { type: 'cancel', outcome: 'not-found' })
  if (request.team !== undefined && entry.work.team !== request.team) return sendGroupResponse(state, event, { type: 'cancel', outcome: 'other-team' })
  if (isDefinedService(request.work)) return sendGroupResponse(state, event, { type: 'cancel', outcome: 'defined-service' })
  if (entry.ended || entry.cancelled) return sendGroupResponse(state, event, { type: 'cancel', outcome: entry.ended ? 'already-ended' : 'cancelled' })
  if (entry.work.kind === 'request') {
    cancelWork(state, event.now, entry)
    return sendGroupResponse(state, event, { type: 'cancel', outcome: 'cancelled' })
  }
  entry.cancelled = true
  commitJobs(state, [entry], { type: 'cancel', work: request.work, nonce: event.nonce, from: event.from })
  applySchedulerEvent(state, { type: 'work-cancelled', now: event.now, work: request.work })
}

function handleCancelMatching (state: GroupState, event: GroupRequestEvent, request: Extract<GroupRequest, { type: 'cancel-matching' }>): void {
  let cancelled = 0
  for (const entry of [...state.workEntries.values()]) {
    const { team, queue } = entry.work
    const isMatch = (request.team ?? team) === team && (request.queue ?? queue) === queue
    if (!isMatch || entry.ended || entry.cancelled || isDefinedService(entry.work.id)) continue
    entry.dirty = entry.work.kind !== 'request'
    cancelWork(state, event.now, entry)
    cancelled += 1
  }
  sendGroupResponse(state, event, { type: 'cancel-matching', cancelled })
}

function getJobStatus (state: GroupState, work: string): JobStatus | undefined {
  const entry = state.workEntries.get(work)
  if (entry === undefined) return undefined
  let running = 0
  for (const taskId of entry.activeTasks) {
    if (state.tasks.get(taskId)?.phase === 'running') running += 1
  }
  const { succeeded, failed, unknown } = entry
  const finalCount = succeeded.size + failed.size + unknown.size
  return {
    work,
    team: entry.work.team,
    kind: entry.work.kind,
    state: getJobState(entry, running),
    waiting: entry.ended ? 0 : taskCount(entry.work) - finalCount - running,
    running,
    succeeded: succeeded.size,
    failed: failed.size,
    unknown: unknown.size
  }
}

function getJobState (entry: WorkEntry, running: number): JobState {
  if (entry.cancelled) return 'cancelled'
  if (!entry.ended) return running > 0 ? 'running' : 'accepted'
  if (entry.work.kind === 'request') return entry.response?.type === 'succeeded' ? 'succeeded' : 'failed'
  return entry.failed.size + entry.unknown.size > 0 || entry.refusal !== undefined ? 'failed' : 'succeeded'
}

function explainTask (state: GroupState, taskId: TaskId): Explanation | undefined {
  const recorded = state.scheduler.explain(taskId)
  if (recorded !== undefined) return recorded
  const entry = state.workEntries.get(parseWorkId(taskId))
  const index = parseTaskIndex(taskId)
  if (entry === undefined || index >= taskCount(entry.work)) return undefined
  if (!entry.ended && !hasFinalResult(entry, index)) {
    return { task: taskId, state: 'waiting', reason: 'recovering', detail: 'the group is listing its targets after a change of owner', decisions: [] }
  }
  const reason = entry.refusal?.reason ?? (entry.succeeded.has(index) ? 'succeeded' : 'ended')
  return { task: taskId, state: 'ended', reason, detail: JSON.stringify(entry.refusal ?? entry.response ?? {}), decisions: [] }
}
