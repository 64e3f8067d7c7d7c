import type { MemberId, TargetId, TaskId, WorkId } from '../model/ids.ts'
import type { SubmissionResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import { taskCount, type Work } from '../model/work.ts'
import { fromRanges, toRanges, type JobRecord } from './job-record.ts'

/** Whether the record of a job is in the store; requests are never stored. */
export type Durability = 'not-needed' | 'pending' | 'stored'

/** A result that a target keeps until it is acknowledged. */
export type KeptResult = { readonly targetId: TargetId, readonly taskId: TaskId, readonly attempt: number }

/** Current state of a request or job. */
export type WorkEntry = {
  readonly work: Work
  /** Nonces of the waiting callers with the member that holds the connection of each. */
  readonly submitters: Map<string, MemberId>
  durability: Durability
  cancelled: boolean
  ended: boolean
  endedAt: number
  response: SubmissionResponse | undefined
  /** Whether one of its tasks may have run; decides the verdict of a refusal. */
  mayHaveRun: boolean
  readonly succeeded: Set<number>
  readonly failed: Set<number>
  readonly unknown: Set<number>
  /** Non-idempotent tasks that may have been started. */
  readonly intents: Set<number>
  refusal: Refusal | undefined
  /** Whether there is progress that is not written yet. */
  dirty: boolean
  keptResults: KeptResult[]
  /** Tasks that have an entry in `GroupState.tasks`. */
  readonly activeTasks: Set<TaskId>
  /** Whether the callers have received the response to the request. */
  responseReceived: boolean
}

/** Phase of a task; `intent`: its start waits until the intent to start it is stored. */
export type TaskPhase = 'waiting' | 'intent' | 'starting' | 'running'

/** Current state of one task that has no final result. */
export type TaskEntry = {
  readonly taskId: TaskId
  readonly index: number
  readonly entry: WorkEntry
  phase: TaskPhase
  attempt: number
  targetId: TargetId | undefined
  startInFlight: boolean
  /** When the start of the current attempt was first sent; undefined before. */
  firstSentAt: number | undefined
  /** Whether a start of the current attempt may have taken effect although the call failed. */
  startAmbiguous: boolean
  nextStartAt: number
  stop: { readonly mode: 'checkpoint' | 'stop', nextAt: number } | undefined
}

/**
 * Creates the entry of newly submitted work.
 *
 * @example
 * createWorkEntry(request).durability // 'not-needed'
 */
export function createWorkEntry (work: Work): WorkEntry {
  return {
    work,
    submitters: new Map(),
    durability: work.kind === 'request' ? 'not-needed' : 'pending',
    cancelled: false,
    ended: false,
    endedAt: 0,
    response: undefined,
    mayHaveRun: false,
    succeeded: new Set(),
    failed: new Set(),
    unknown: new Set(),
    intents: new Set(),
    refusal: undefined,
    dirty: false,
    keptResults: [],
    activeTasks: new Set(),
    responseReceived: false
  }
}

/**
 * Creates the entry of a job from its stored record.
 *
 * @example
 * fromJobRecord(record).durability // 'stored'
 */
export function fromJobRecord (record: JobRecord): WorkEntry {
  return {
    ...createWorkEntry(record.work),
    durability: 'stored',
    cancelled: record.cancelled,
    ended: record.ended,
    endedAt: record.endedAt,
    succeeded: fromRanges(record.succeeded),
    failed: fromRanges(record.failed),
    unknown: fromRanges(record.unknown),
    intents: fromRanges(record.intents),
    refusal: record.refusal,
    response: { type: 'accepted', work: record.work.id }
  }
}

/**
 * Converts the entry of a job to its stored record.
 *
 * @example
 * toJobRecord(entry).ended
 */
export function toJobRecord (entry: WorkEntry): JobRecord {
  return {
    work: entry.work,
    cancelled: entry.cancelled,
    ended: entry.ended,
    endedAt: entry.endedAt,
    succeeded: toRanges(entry.succeeded),
    failed: toRanges(entry.failed),
    unknown: toRanges(entry.unknown),
    intents: toRanges(entry.intents),
    ...(entry.refusal === undefined ? {} : { refusal: entry.refusal })
  }
}

/**
 * Returns whether the task with this index has a final result.
 *
 * @example
 * hasFinalResult(entry, 0)
 */
export function hasFinalResult (entry: WorkEntry, index: number): boolean {
  return entry.succeeded.has(index) || entry.failed.has(index) || entry.unknown.has(index)
}

/**
 * Returns the number of tasks with a final result.
 *
 * @example
 * countFinalResults(entry) === taskCount(entry.work)
 */
export function countFinalResults (entry: WorkEntry): number {
  return entry.succeeded.size + entry.failed.size + entry.unknown.size
}

/**
 * Returns the indices of the tasks without a final result.
 *
 * @example
 * getRemainingIndices(entry) // [0, 1, 2]
 */
export function getRemainingIndices (entry: WorkEntry): readonly number[] {
  const indices: number[] = []
  for (let index = 0; index < taskCount(entry.work); index += 1) {
    if (!hasFinalResult(entry, index)) indices.push(index)
  }
  return indices
}

/**
 * Returns whether the work id was derived from a caller's idempotency key.
 *
 * @example
 * hasIdempotencyKey('g3-k9f0c') // true
 */
export function hasIdempotencyKey (id: WorkId): boolean {
  return /^g\d+-k/.test(id)
}
