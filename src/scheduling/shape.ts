import type { Resources } from '../model/resources.ts'
import type { Work } from '../model/work.ts'
import type { Shape, WorkClass } from './queue.ts'

/**
 * Creates a shape without waiting queues.
 *
 * @example
 * createShape(formatShapeKey(work), work, work.resources, now)
 */
export function createShape (key: string, { family, resources }: Work, booked: Resources, now: number): Shape {
  return {
    key,
    family,
    declared: resources,
    booked,
    blockedQueues: new Set(),
    searchFailed: false,
    lastStartAt: now,
    queueCount: 0
  }
}

/**
 * Returns the class in which the work waits.
 *
 * @example
 * getWorkClass(work) // 'urgent'
 */
export function getWorkClass (work: Work): WorkClass {
  if (work.kind === 'gang') return 'gang'
  return work.urgent ? 'urgent' : work.kind
}

/**
 * Formats the key of the shape of a work's tasks.
 *
 * @example
 * formatShapeKey(work)
 */
export function formatShapeKey ({ family, resources }: Work): string {
  return `${family} ${resources.cpuMillis} ${resources.memoryMiB} ${resources.accelerators} ${resources.slots} ${resources.connections}`
}
