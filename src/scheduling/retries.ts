import type { QueueName } from '../model/ids.ts'
import { formatTaskId } from '../model/ids.ts'
import { KeyedHeap } from '../util/keyed-heap.ts'
import type { SchedulerState } from './scheduler-state.ts'
import type { TaskCompletion } from './event.ts'
import { type Job, addWaitingIndex, type Task } from './task.ts'

/** Number of attempts that failed or crashed their target after which a task is given up; tasks of services are never given up. */
const MAX_FAILURES = 5
const FIRST_RETRY_DELAY_MS = 200
const MAX_RETRY_DELAY_MS = 30_000
/** Delay after a target refused a start: the bookings differ from the target's until its next report. */
const REFUSED_RETRY_DELAY_MS = 500
/** Maximum retry budget of a queue, which it may use in a burst. */
const MAX_BUDGET_RETRIES = 50
const BUDGET_RETRIES_PER_S = 1
/** Budget that each success adds, so that retries stay a bounded fraction of the load. */
const BUDGET_RETRIES_PER_SUCCESS = 0.2

type DelayedRetry = { readonly job: Job, readonly index: number }

type RetryBudget = { tokens: number, updatedAt: number }

/** Delayed retries, and the retry budget of each queue. */
export class Retries {
  readonly delayed = KeyedHeap.create<DelayedRetry>()
  private readonly budgets = new Map<QueueName, RetryBudget>()

  static create (): Retries {
    return new Retries()
  }

  private refillBudget (queue: QueueName, now: number): RetryBudget {
    const budget = this.budgets.get(queue) ?? { tokens: MAX_BUDGET_RETRIES, updatedAt: now }
    this.budgets.set(queue, budget)
    budget.tokens = Math.min(MAX_BUDGET_RETRIES, budget.tokens + (now - budget.updatedAt) / 1000 * BUDGET_RETRIES_PER_S)
    budget.updatedAt = now
    return budget
  }

  recordSuccess (queue: QueueName, now: number): void {
    const budget = this.refillBudget(queue, now)
    budget.tokens = Math.min(MAX_BUDGET_RETRIES, budget.tokens + BUDGET_RETRIES_PER_SUCCESS)
  }

  /** Subtracts one retry from the budget of the queue; returns how long in ms the retry must wait for the budget. */
  consumeRetry (queue: QueueName, now: number): number {
    const budget = this.refillBudget(queue, now)
    budget.tokens -= 1
    return budget.tokens >= 0 ? 0 : -budget.tokens * 1000 / BUDGET_RETRIES_PER_S
  }
}

/** Puts a task that must run again back into its queue, immediately or after a delay, or gives it up. */
export function scheduleRetry (state: SchedulerState, task: Task, completion: TaskCompletion): void {
  const { job, index, target } = task
  const isProbe = target.quarantined
  if (completion === 'stopped' || (completion === 'failed' && isProbe)) return requeueTask(state, job, index)
  if (completion === 'not-started') return delayRetry(state, job, index, addJitter(state, REFUSED_RETRY_DELAY_MS))
  job.avoidedTarget = target
  if (completion === 'lost') return delayRetry(state, job, index, addJitter(state, FIRST_RETRY_DELAY_MS))
  const failures = recordFailure(job, index)
  if (failures >= MAX_FAILURES && job.work.kind !== 'service') return giveUpTask(state, job, index, failures)
  const backoffMs = Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** (failures - 1))
  delayRetry(state, job, index, addJitter(state, backoffMs) + state.retries.consumeRetry(job.work.queue, state.now))
}

function recordFailure (job: Job, index: number): number {
  job.failuresByIndex ??= new Map()
  const failures = (job.failuresByIndex.get(index) ?? 0) + 1
  job.failuresByIndex.set(index, failures)
  return failures
}

/** Randomizes a delay between half and one and a half of it, so that retries with the same cause do not coincide. */
function addJitter (state: SchedulerState, delayMs: number): number {
  return delayMs * (0.5 + state.random.next())
}

function giveUpTask (state: SchedulerState, job: Job, index: number, failures: number): void {
  const detail = `failed ${failures} times`
  state.emit({ type: 'give-up', taskId: formatTaskId(job.id, index), refusal: { reason: 'retries-exhausted', detail } })
  state.emitCount('given-up', 'retries-exhausted')
}

function delayRetry (state: SchedulerState, job: Job, index: number, delayMs: number): void {
  job.delayedIndices.add(index)
  state.changeWaiting(job, 1)
  state.retries.delayed.set({ job, index }, state.now + delayMs)
  state.emitCount('retry-delayed', job.work.kind)
}

/** Puts a task back at the front of its queue. */
export function requeueTask (state: SchedulerState, job: Job, index: number): void {
  addWaitingIndex(job, index)
  state.changeWaiting(job, 1)
  state.enqueue(job, true)
}

/** Puts the retries that are due into their queues. */
export function enqueueDueRetries (state: SchedulerState): void {
  const { delayed } = state.retries
  while (delayed.topKey() <= state.now) {
    const entry = delayed.top()!
    delayed.delete(entry)
    const { job, index } = entry
    if (!job.delayedIndices.delete(index)) continue
    addWaitingIndex(job, index)
    state.enqueue(job, true)
  }
}
