import type { AdviceResponse, CachedAdvice, CommandResponse, CommandRefusal } from '../ports/command-client.ts'
import type { CellConfiguration } from './cell-configuration.ts'
import type { JobDefinition, JobPhase } from './job.ts'
import type { JobProgress } from './progress-record.ts'
import type { TargetEntry, TargetListing } from './target-entry.ts'

/** Ends of one life of a target that have been taken in, up to a number. */
export type ProcessedCompletions = { readonly target: string, readonly incarnation: number, readonly number: number }

/** What the scheduler of a cell learns. Times are milliseconds of the process's steady clock. */
export type CellEvent =
  | { readonly type: 'configured', readonly configuration: CellConfiguration }
  | { readonly type: 'domains-out', readonly domains: readonly string[] }
  | { readonly type: 'target-published', readonly entry: TargetEntry }
  | { readonly type: 'target-withdrawn', readonly id: string }
  /** `sentAt`: when the question was sent; the listing is at least as new. */
  | { readonly type: 'target-listed', readonly id: string, readonly sentAt: number, readonly listing: TargetListing }
  | { readonly type: 'target-silent', readonly id: string, readonly refusal: CommandRefusal | undefined }
  | { readonly type: 'start-answered', readonly target: string, readonly task: string, readonly run: number, readonly answer: CommandResponse }
  | { readonly type: 'stop-answered', readonly target: string, readonly task: string, readonly run: number, readonly answer: CommandResponse }
  | { readonly type: 'advised', readonly step: string, readonly asked: readonly string[], readonly answer: AdviceResponse }
  /** Answers that members have had from the advisor on behalf of an earlier owner. */
  | { readonly type: 'advice-known', readonly advice: readonly CachedAdvice[] }
  /** Members through which the advisor can be asked. */
  | { readonly type: 'advice-channels', readonly channels: number }
  | { readonly type: 'job-accepted', readonly definition: JobDefinition }
  | { readonly type: 'job-restored', readonly definition: JobDefinition, readonly progress: JobProgress | undefined }
  /** The store holds the end of a job and no definition any more. */
  | { readonly type: 'ended-job-restored', readonly id: string, readonly phase: JobPhase }
  | { readonly type: 'job-cancelled', readonly id: string }
  /** All records that were handed out before have been stored; the definitions of `released` jobs have been removed. */
  | { readonly type: 'progress-stored', readonly phases: ReadonlyMap<string, JobPhase>, readonly released: readonly string[], readonly ends: readonly ProcessedCompletions[] }
  | { readonly type: 'targets-stored', readonly ids: readonly string[] }
  /** Runs of an earlier owner on targets that could not be listed have lapsed. */
  | { readonly type: 'earlier-runs-lapsed' }
  | { readonly type: 'tick' }
