import type { AdviceResponse, CachedAdvice, CommandResponse, CommandRefusal, NO_LISTENER } from '../ports/command-client.ts'
import type { CellConfiguration } from './settings/cell-configuration.ts'
import type { ClosedTargets } from './takeover/closed-targets.ts'
import type { Incarnations } from './takeover/earlier-leases.ts'
import type { JobOutline } from './deferred-jobs.ts'
import type { JobDefinition, JobPhase } from './job.ts'
import type { JobProgress } from './progress-record.ts'
import type { LearnedRecord } from './learned-records.ts'
import type { RemovedSettings } from './settings/removed-settings.ts'
import type { SilentTargetsById } from './takeover/silent-targets.ts'
import type { TargetEntry, TargetListing } from './target-entry.ts'

/** Completions of one incarnation of a target that have been processed, up to and including `lastNumber`. */
export type ProcessedCompletions = { readonly target: string, readonly incarnation: number, readonly lastNumber: number }

/** Why a list request gave no listing: the target refused it, no process listens at its address, or there was no answer. */
export type SilenceCause = CommandRefusal | typeof NO_LISTENER | 'no-answer'

/** Input of the scheduler of a cell. Times are in milliseconds of the process's monotonic clock. */
export type CellEvent =
  | { readonly type: 'configured', readonly configuration: CellConfiguration }
  | { readonly type: 'domains-out', readonly domains: readonly string[] }
  | { readonly type: 'target-published', readonly entry: TargetEntry }
  | { readonly type: 'target-withdrawn', readonly id: string }
  /** `sentAt`: when the list request was sent; the listing is at least as recent. `isReduced`: whether it was sent without its lease and cursor; missing if it had neither. */
  | { readonly type: 'target-listed', readonly id: string, readonly sentAt: number, readonly listing: TargetListing, readonly isReduced?: boolean }
  /** A single list request had no answer. */
  | { readonly type: 'list-unanswered', readonly id: string }
  | { readonly type: 'target-silent', readonly id: string, readonly cause: SilenceCause }
  /** `incarnation`: the one of the target that the command was sent to; another one may have sent the response. `series`: that of the command. */
  | { readonly type: 'start-answered', readonly target: string, readonly incarnation: number, readonly series?: number, readonly task: string, readonly run: number, readonly response: CommandResponse }
  | { readonly type: 'stop-answered', readonly target: string, readonly incarnation: number, readonly series?: number, readonly task: string, readonly run: number, readonly response: CommandResponse }
  | { readonly type: 'advised', readonly step: string, readonly requestedTargets: readonly string[], readonly response: AdviceResponse }
  /** Responses that members received from the advisor on behalf of a previous owner. */
  | { readonly type: 'advice-known', readonly advice: readonly CachedAdvice[] }
  /** Number of members that can send advice requests. */
  | { readonly type: 'advice-channels', readonly channels: number }
  | { readonly type: 'job-accepted', readonly definition: JobDefinition }
  | { readonly type: 'job-restored', readonly definition: JobDefinition, readonly progress: JobProgress | undefined }
  /** The definition of a stored job was left in the store; `restored`: a previous owner may have started its tasks. */
  | { readonly type: 'job-deferred', readonly outline: JobOutline, readonly phase: JobPhase, readonly restored: boolean }
  /** A deferred job was read. */
  | { readonly type: 'job-loaded', readonly definition: JobDefinition, readonly progress: JobProgress | undefined }
  /** A deferred job could not be read, and never can be; `phase`: what callers are to see of it, if its progress is stored. */
  | { readonly type: 'job-not-loaded', readonly id: string, readonly phase: JobPhase | undefined }
  /** Targets list tasks of deferred jobs. */
  | { readonly type: 'deferred-jobs-listed', readonly ids: readonly string[] }
  /** The store has the outcome of a job, but no longer its definition. */
  | { readonly type: 'ended-job-restored', readonly id: string, readonly phase: JobPhase }
  | { readonly type: 'job-cancelled', readonly id: string }
  /** All progress up to these completions has been stored. The definitions of `released` jobs have been removed. */
  | { readonly type: 'progress-stored', readonly phases: ReadonlyMap<string, JobPhase>, readonly released: readonly string[], readonly completions: readonly ProcessedCompletions[] }
  /** `unbound`: those among the stored targets whose commands may reach a later incarnation. */
  | { readonly type: 'targets-stored', readonly ids: readonly string[], readonly unbound?: readonly string[] | undefined }
  /** Closed targets of previous owners, as stored. */
  | { readonly type: 'closed-targets-restored', readonly closed: ClosedTargets }
  /** `unbound`: targets whose commands may have reached later incarnations; all, if it is missing. */
  | { readonly type: 'incarnations-restored', readonly incarnations: Incarnations, readonly unbound?: readonly string[] | undefined }
  /** Targets that previous owners have promised not to command, and that this one must not command either. */
  | { readonly type: 'silent-targets-restored', readonly targets: SilentTargetsById }
  /** The record of silent targets has been stored with these targets. */
  | { readonly type: 'silent-targets-stored', readonly ids: readonly string[] }
  /** Settings of removed queues and organisations, as a previous owner stored them. */
  | { readonly type: 'settings-restored', readonly record: RemovedSettings }
  /** What a previous owner has learned, as it was stored; the text may be damaged or of another release. */
  | { readonly type: 'learned-restored', readonly record: LearnedRecord, readonly value: string }
  /** All targets of previous owners have been listed, apart from closed ones. */
  | { readonly type: 'earlier-runs-listed' }
  /** The leases of runs of a previous owner have expired on all targets that could not be listed. */
  | { readonly type: 'earlier-runs-lapsed' }
  /**
   * `aloneUntil`: no other owner can have extended the leases of runs before this time; no other owner exists if it is missing. What would expire
   * later may go on under a successor. `late`: the process was busy or suspended, so that responses may wait to be read.
   * `earlierCommandsEndAt`: when the last earlier owner sends no more commands; missing before all targets are known. Silent
   * targets are stored only from then on.
   */
  | { readonly type: 'tick', readonly aloneUntil?: number, readonly late?: boolean, readonly earlierCommandsEndAt?: number | undefined }
