import { parseTaskIndex, parseWorkId, type TaskId } from '../model/ids.ts'
import type { Explanation, JobState, JobStatus, GroupRequest, GroupResponse } from '../model/group-request.ts'
import { taskCount } from '../model/work.ts'
import { assertNever } from '../util/assert-never.ts'
import { refuseAll } from './responses.ts'
import { commitJobs } from './commits.ts'
import { finishJobIfComplete, finishWork } from './completions.ts'
import type { GroupEvent } from './event.ts'
import { schedule } from './apply-scheduler-event.ts'
import { isDefinedService } from './services.ts'
import type { GroupState } from './state.ts'
import { isFinal, type WorkEntry } from './work-entry.ts'

type RequestedEvent = Extract<GroupEvent, { type: 'group-requested' }>

/**
 * Answers a question about work of the group, or about the group itself.
 *
 * @example
 * answerQuestion(state, { type: 'group-requested', now, from, nonce, question: { type: 'overview' } })
 */
export function handleGroupRequest (state: GroupState, event: RequestedEvent): void {
  if (!state.recovery.ready) return reply(state, event, { type: 'not-owner' })
  const { request } = event
  switch (request.type) {
    case 'status': return reply(state, event, { type: 'status', status: statusOf(state, request.work) })
    case 'explain': return reply(state, event, { type: 'explain', explanation: explain(state, request.task) })
    case 'overview': return reply(state, event, { type: 'overview', overview: state.scheduler.overview(state.group) })
    case 'cancel': return cancel(state, event, request)
    case 'cancel-matching': return cancelMatching(state, event, request)
    default: return assertNever(request)
  }
}

/**
 * Cancels work: waiting tasks are dropped, running ones are stopped.
 *
 * @example
 * cancelEntry(state, now, entry)
 */
export function cancelEntry (state: GroupState, now: number, entry: WorkEntry): void {
  entry.cancelled = true
  schedule(state, { type: 'work-cancelled', now, work: entry.work.id })
  if (entry.work.kind === 'request') {
    if (entry.active.size > 0) return
    refuseAll(state, entry, { reason: 'cancelled' })
    finishWork(state, now, entry)
    return
  }
  finishJobIfComplete(state, now, entry)
}

/**
 * Sends the reply to a question.
 *
 * @example
 * reply(state, event, { type: 'not-owner' })
 */
export function reply (state: GroupState, asked: { readonly from: string, readonly nonce: string }, answer: GroupResponse): void {
  state.outbox.push({ type: 'send', to: asked.from, message: { type: 'reply', nonce: asked.nonce, reply: answer } })
}

function cancel (state: GroupState, event: RequestedEvent, request: Extract<GroupRequest, { type: 'cancel' }>): void {
  const entry = state.works.get(request.work)
  if (entry === undefined) return reply(state, event, { type: 'cancel', outcome: 'not-found' })
  if (request.team !== undefined && entry.work.team !== request.team) return reply(state, event, { type: 'cancel', outcome: 'other-team' })
  if (isDefinedService(request.work)) return reply(state, event, { type: 'cancel', outcome: 'defined-service' })
  if (entry.ended || entry.cancelled) return reply(state, event, { type: 'cancel', outcome: entry.ended ? 'already-ended' : 'cancelled' })
  if (entry.work.kind === 'request') {
    cancelEntry(state, event.now, entry)
    return reply(state, event, { type: 'cancel', outcome: 'cancelled' })
  }
  entry.cancelled = true
  commitJobs(state, [entry], { type: 'cancel', work: request.work, nonce: event.nonce, from: event.from })
  schedule(state, { type: 'work-cancelled', now: event.now, work: request.work })
}

function cancelMatching (state: GroupState, event: RequestedEvent, request: Extract<GroupRequest, { type: 'cancel-matching' }>): void {
  let cancelled = 0
  for (const entry of [...state.works.values()]) {
    const { team, queue } = entry.work
    const matches = (request.team ?? team) === team && (request.queue ?? queue) === queue
    if (!matches || entry.ended || entry.cancelled || isDefinedService(entry.work.id)) continue
    entry.dirty = entry.work.kind !== 'request'
    cancelEntry(state, event.now, entry)
    cancelled += 1
  }
  reply(state, event, { type: 'cancel-matching', cancelled })
}

function statusOf (state: GroupState, work: string): JobStatus | undefined {
  const entry = state.works.get(work)
  if (entry === undefined) return undefined
  let running = 0
  for (const taskId of entry.active) {
    if (state.tasks.get(taskId)?.phase === 'running') running += 1
  }
  const { succeeded, failed, unknown } = entry
  const final = succeeded.size + failed.size + unknown.size
  return {
    work,
    team: entry.work.team,
    kind: entry.work.kind,
    state: stateOf(entry, running),
    waiting: entry.ended ? 0 : taskCount(entry.work) - final - running,
    running,
    succeeded: succeeded.size,
    failed: failed.size,
    unknown: unknown.size
  }
}

function stateOf (entry: WorkEntry, running: number): JobState {
  if (entry.cancelled) return 'cancelled'
  if (!entry.ended) return running > 0 ? 'running' : 'accepted'
  if (entry.work.kind === 'request') return entry.answer?.type === 'succeeded' ? 'succeeded' : 'failed'
  return entry.failed.size + entry.unknown.size > 0 || entry.refusal !== undefined ? 'failed' : 'succeeded'
}

function explain (state: GroupState, taskId: TaskId): Explanation | undefined {
  const recorded = state.scheduler.explain(taskId)
  if (recorded !== undefined) return recorded
  const entry = state.works.get(parseWorkId(taskId))
  const index = parseTaskIndex(taskId)
  if (entry === undefined || index >= taskCount(entry.work)) return undefined
  if (!entry.ended && !isFinal(entry, index)) {
    return { task: taskId, state: 'waiting', reason: 'recovering', detail: 'the group is listing its targets after a change of owner', decisions: [] }
  }
  const reason = entry.refusal?.reason ?? (entry.succeeded.has(index) ? 'succeeded' : 'ended')
  return { task: taskId, state: 'ended', reason, detail: JSON.stringify(entry.refusal ?? entry.answer ?? {}), decisions: [] }
}
