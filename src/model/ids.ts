/** Identifiers are plain strings; the aliases document which identifier a field holds. */
export type HostId = string
export type TargetId = string
export type MemberId = string
export type FailureDomainName = string
export type RackName = string
export type OrganisationName = string
export type TeamName = string
export type QueueName = string
export type KeyId = string
/** A request id or a job id. Both start with the group number: `g3-…`. */
export type WorkId = string
/** `<work id>/<index>`: the task of that index in a job; a request has the one task `<request id>/0`. */
export type TaskId = string

/** Number of a group, from 0 to the number of groups less one. */
export type GroupNumber = number
/** Number of an ownership of a group; it increases by one with each change of owner. */
export type Epoch = number
/** Number of an accepted change of configuration; 0 before the first. */
export type Revision = number

/**
 * Returns the group that a work id belongs to, or undefined if the id is malformed.
 *
 * @example
 * parseGroupNumber('g3-01h8') // 3
 */
export function parseGroupNumber (id: WorkId): GroupNumber | undefined {
  const match = /^g(\d{1,4})-[\w-]{1,80}$/.exec(id)
  return match === null ? undefined : Number(match[1])
}

/**
 * Formats the id of one task of a job or request.
 *
 * @example
 * formatTaskId('g3-01h8', 0) // 'g3-01h8/0'
 */
export function formatTaskId (work: WorkId, index: number): TaskId {
  return `${work}/${index}`
}

/**
 * Returns the id of the job or request that a task belongs to.
 *
 * @example
 * parseWorkId('g3-01h8/0') // 'g3-01h8'
 */
export function parseWorkId (task: TaskId): WorkId {
  return task.slice(0, task.lastIndexOf('/'))
}

/**
 * Returns the index of a task in its job.
 *
 * @example
 * parseTaskIndex('g3-01h8/4') // 4
 */
export function parseTaskIndex (task: TaskId): number {
  return Number(task.slice(task.lastIndexOf('/') + 1))
}
