import type { Resources } from '../model/resources.ts'
import { precedes } from './fair-order.ts'
import type { TargetState } from './fleet.ts'
import type { Job } from './task.ts'
import type { TeamState } from './team.ts'

/** Classes of waiting work, in the order in which the work of one team is tried. */
export const WORK_CLASSES = ['urgent', 'request', 'service', 'gang', 'batch'] as const

export type WorkClass = typeof WORK_CLASSES[number]

/** Why the jobs of a queue cannot start now. */
export type BlockReason = 'no-room' | 'team-limit' | 'urgent-reserve' | 'gang-waiting'

/** What one task books; shared by all jobs of the same family and declared size. */
export type Shape = {
  readonly key: string
  readonly family: string
  readonly declared: Resources
  booked: Resources
  /** Queues that wait because the shape fits on no target. */
  readonly blockedQueues: Set<ShapeQueue>
  /** Whether the last search found no target; no search follows until the shape is retried. */
  searchFailed: boolean
  /** Time of the last start or claim of the shape, or of its creation. */
  lastStartAt: number
  /** Number of queues with the shape. */
  queueCount: number
}

/**
 * Waiting jobs of one team, class and shape, oldest first. The jobs are an intrusive linked list, so that a
 * cancelled job is removed in constant time.
 */
export class ShapeQueue {
  head: Job | undefined
  private tail: Job | undefined
  blockedBy: BlockReason | undefined
  /** Target on which capacity became free for the shape. */
  targetHint: TargetState | undefined
  /** Time from which on the first gang of the queue may be tried again. */
  retryAt = 0

  private constructor (readonly team: TeamState, readonly workClass: WorkClass, readonly shape: Shape) {}

  static create (team: TeamState, workClass: WorkClass, shape: Shape): ShapeQueue {
    return new ShapeQueue(team, workClass, shape)
  }

  get isEmpty (): boolean {
    return this.head === undefined
  }

  append (job: Job): void {
    job.queue = this
    job.previous = this.tail
    job.next = undefined
    if (this.tail === undefined) this.head = job
    else this.tail.next = job
    this.tail = job
  }

  prepend (job: Job): void {
    job.queue = this
    job.previous = undefined
    job.next = this.head
    if (this.head === undefined) this.tail = job
    else this.head.previous = job
    this.head = job
  }

  remove (job: Job): void {
    if (job.previous === undefined) this.head = job.next
    else job.previous.next = job.next
    if (job.next === undefined) this.tail = job.previous
    else job.next.previous = job.previous
    job.previous = undefined
    job.next = undefined
    job.queue = undefined
  }
}

/** Maximum number of queues of one shape compared to find the team furthest below its share. */
const MAX_QUEUES_COMPARED = 64

/**
 * Finds the blocked queue of the shape that is next: an urgent one, else that of the team furthest below its share.
 *
 * @example
 * const queue = findFairestQueue(shape)
 */
export function findFairestQueue ({ blockedQueues }: Shape): ShapeQueue | undefined {
  let best: ShapeQueue | undefined
  let compared = 0
  for (const queue of blockedQueues) {
    if (best === undefined || comesBefore(queue, best)) best = queue
    compared += 1
    if (compared === MAX_QUEUES_COMPARED) break
  }
  return best
}

function comesBefore (left: ShapeQueue, right: ShapeQueue): boolean {
  const urgent = left.workClass === 'urgent'
  return urgent === (right.workClass === 'urgent') ? precedes(left.team, right.team) : urgent
}
