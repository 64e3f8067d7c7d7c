import type { QueueName } from '../model/ids.ts'
import { taskIdOf } from '../model/ids.ts'
import { KeyedHeap } from '../util/keyed-heap.ts'
import type { Cell } from './scheduler-state.ts'
import type { TaskEnd } from './event.ts'
import { type Job, returnIndex, type Task } from './task.ts'

/** Failed attempts of one task after which it is given up; services are tried for ever. */
const MOST_FAILURES = 5
const FIRST_DELAY_MS = 200
const LONGEST_DELAY_MS = 30_000
/** A target that refused a start tells of a difference in bookings that its next report resolves. */
const REFUSED_DELAY_MS = 500
/** Retries that a queue may make in a burst. */
const BUDGET_BURST = 50
const BUDGET_PER_SECOND = 1
/** Part of a retry that each successful end adds, so that retries stay a bounded part of the load. */
const BUDGET_PER_SUCCESS = 0.2

type Delayed = { readonly job: Job, readonly index: number }

type Budget = { tokens: number, at: number }

/** Retries that wait for their time, and the budget of each queue. */
export class Retries {
  readonly delayed = KeyedHeap.create<Delayed>()
  private readonly budgets = new Map<QueueName, Budget>()

  static create (): Retries {
    return new Retries()
  }

  private budget (queue: QueueName, now: number): Budget {
    const budget = this.budgets.get(queue) ?? { tokens: BUDGET_BURST, at: now }
    this.budgets.set(queue, budget)
    budget.tokens = Math.min(BUDGET_BURST, budget.tokens + (now - budget.at) / 1000 * BUDGET_PER_SECOND)
    budget.at = now
    return budget
  }

  noteSuccess (queue: QueueName, now: number): void {
    const budget = this.budget(queue, now)
    budget.tokens = Math.min(BUDGET_BURST, budget.tokens + BUDGET_PER_SUCCESS)
  }

  /** Takes one retry from the budget of the queue; returns how long the retry must wait for it. */
  take (queue: QueueName, now: number): number {
    const budget = this.budget(queue, now)
    budget.tokens -= 1
    return budget.tokens >= 0 ? 0 : -budget.tokens * 1000 / BUDGET_PER_SECOND
  }
}

/** Puts a task that must run again back into its queue, at once or after a delay, or gives it up. */
export function runAgain (cell: Cell, task: Task, end: TaskEnd): void {
  const { job, index, target } = task
  const onProbe = target.quarantined
  if (end === 'stopped' || (end === 'failed' && onProbe)) return queueAgain(cell, job, index)
  if (end === 'not-started') return delay(cell, job, index, jitter(cell, REFUSED_DELAY_MS))
  job.avoided = target
  if (end === 'lost') return delay(cell, job, index, jitter(cell, FIRST_DELAY_MS))
  const failures = noteFailure(job, index)
  if (failures >= MOST_FAILURES && job.work.kind !== 'service') return giveUp(cell, job, index, failures)
  const backoffMs = Math.min(LONGEST_DELAY_MS, FIRST_DELAY_MS * 2 ** (failures - 1))
  delay(cell, job, index, jitter(cell, backoffMs) + cell.retries.take(job.work.queue, cell.now))
}

function noteFailure (job: Job, index: number): number {
  job.failures ??= new Map()
  const failures = (job.failures.get(index) ?? 0) + 1
  job.failures.set(index, failures)
  return failures
}

/** Between half and one and a half of the delay, so that retries of one cause do not come together. */
function jitter (cell: Cell, delayMs: number): number {
  return delayMs * (0.5 + cell.random.next())
}

function giveUp (cell: Cell, job: Job, index: number, failures: number): void {
  const detail = `failed ${failures} times`
  cell.emit({ type: 'give-up', taskId: taskIdOf(job.id, index), refusal: { reason: 'retries-exhausted', detail } })
  cell.count('given-up', 'retries-exhausted')
}

function delay (cell: Cell, job: Job, index: number, delayMs: number): void {
  job.delayed.add(index)
  cell.changeWaiting(job, 1)
  cell.retries.delayed.set({ job, index }, cell.now + delayMs)
  cell.count('retry-delayed', job.work.kind)
}

/** Puts a task back at the head of its queue. */
export function queueAgain (cell: Cell, job: Job, index: number): void {
  returnIndex(job, index)
  cell.changeWaiting(job, 1)
  cell.enqueue(job, true)
}

/** Queues the retries whose time has come. */
export function releaseRetries (cell: Cell): void {
  const { delayed } = cell.retries
  while (delayed.topKey() <= cell.now) {
    const entry = delayed.top()!
    delayed.delete(entry)
    const { job, index } = entry
    if (!job.delayed.delete(index)) continue
    returnIndex(job, index)
    cell.enqueue(job, true)
  }
}
