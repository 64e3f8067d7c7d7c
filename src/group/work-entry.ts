import type { MemberId, TargetId, TaskId, WorkId } from '../model/ids.ts'
import type { SubmissionResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import { taskCount, type Work } from '../model/work.ts'
import { fromRanges, toRanges, type JobRecord } from './job-record.ts'

/** How far a job's record is in the store; requests are never stored. */
export type Durability = 'not-needed' | 'pending' | 'stored'

/** A result kept by a target until the job's progress is stored. */
export type KeptResult = { readonly targetId: TargetId, readonly taskId: TaskId, readonly attempt: number }

/** Present state of a request or job. */
export type WorkEntry = {
  readonly work: Work
  /** Nonces of waiting callers with the member that holds each connection. */
  readonly submitters: Map<string, MemberId>
  durability: Durability
  cancelled: boolean
  ended: boolean
  endedAt: number
  answer: SubmissionResponse | undefined
  /** Whether a task of it may have run, for the verdict of a refusal. */
  mayHaveRun: boolean
  readonly succeeded: Set<number>
  readonly failed: Set<number>
  readonly unknown: Set<number>
  readonly intents: Set<number>
  refusal: Refusal | undefined
  /** Progress that is not written yet. */
  dirty: boolean
  kept: KeptResult[]
  /** Tasks that the scheduler has or that run. */
  readonly active: Set<TaskId>
  /** The callers have received the answer of the request. */
  answerReceived: boolean
}

export type TaskPhase = 'waiting' | 'intent' | 'starting' | 'running'

/** Present state of one task that has not ended. */
export type TaskEntry = {
  readonly taskId: TaskId
  readonly index: number
  readonly entry: WorkEntry
  phase: TaskPhase
  attempt: number
  targetId: TargetId | undefined
  startInFlight: boolean
  /** When the present attempt was first sent; undefined before. */
  firstSentAt: number | undefined
  /** A start of the present attempt may have taken effect without an answer. */
  ambiguous: boolean
  nextStartAt: number
  stop: { readonly mode: 'checkpoint' | 'stop', nextAt: number } | undefined
}

/**
 * Entry of work that has just arrived.
 *
 * @example
 * newWorkEntry(request).durability // 'not-needed'
 */
export function newWorkEntry (work: Work): WorkEntry {
  return {
    work,
    submitters: new Map(),
    durability: work.kind === 'request' ? 'not-needed' : 'pending',
    cancelled: false,
    ended: false,
    endedAt: 0,
    answer: undefined,
    mayHaveRun: false,
    succeeded: new Set(),
    failed: new Set(),
    unknown: new Set(),
    intents: new Set(),
    refusal: undefined,
    dirty: false,
    kept: [],
    active: new Set(),
    answerReceived: false
  }
}

/**
 * Entry of a job read from the store.
 *
 * @example
 * storedWorkEntry(record).durability // 'stored'
 */
export function storedWorkEntry (record: JobRecord): WorkEntry {
  return {
    ...newWorkEntry(record.work),
    durability: 'stored',
    cancelled: record.cancelled,
    ended: record.ended,
    endedAt: record.endedAt,
    succeeded: fromRanges(record.succeeded),
    failed: fromRanges(record.failed),
    unknown: fromRanges(record.unknown),
    intents: fromRanges(record.intents),
    refusal: record.refusal,
    answer: { type: 'accepted', work: record.work.id }
  }
}

/**
 * The durable form of a job's entry.
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
 * Whether the task of this index has a final result.
 *
 * @example
 * isFinal(entry, 0)
 */
export function isFinal (entry: WorkEntry, index: number): boolean {
  return entry.succeeded.has(index) || entry.failed.has(index) || entry.unknown.has(index)
}

/**
 * Number of tasks with a final result.
 *
 * @example
 * finalCount(entry) === taskCount(entry.work)
 */
export function finalCount (entry: WorkEntry): number {
  return entry.succeeded.size + entry.failed.size + entry.unknown.size
}

/**
 * Indices of the tasks without a final result.
 *
 * @example
 * remainingIndices(entry) // [0, 1, 2]
 */
export function remainingIndices (entry: WorkEntry): readonly number[] {
  const indices: number[] = []
  for (let index = 0; index < taskCount(entry.work); index += 1) {
    if (!isFinal(entry, index)) indices.push(index)
  }
  return indices
}

/**
 * Whether a work id comes from a caller's idempotency key.
 *
 * @example
 * isKeyed('g3-k9f0c') // true
 */
export function isKeyed (id: WorkId): boolean {
  return /^g\d+-k/.test(id)
}
