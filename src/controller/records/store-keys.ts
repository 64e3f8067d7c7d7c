import type { LeaseId } from '../../ports/store.ts'
import type { ClosedTargets } from '../../workflow/takeover/closed-targets.ts'
import type { Incarnations } from '../../workflow/takeover/earlier-leases.ts'
import type { LearnedRecord } from '../../workflow/learned-records.ts'
import type { Peer } from '../member-call.ts'

/**
 * Keys in the store. `lead/holder` is bound to the lease of the leader. `state/commit` is written by each commit of the
 * leader and by each takeover, so that a commit of a previous leader, or a delayed commit, fails.
 */
export const LEADER_PREFIX = 'lead/'
export const LEADER_KEY = 'lead/holder'
/** Written with the commit key only. It is below the prefix that all members watch, so that each of them knows its age. */
export const SILENT_TARGETS_KEY = 'lead/silent'
export const COMMIT_KEY = 'state/commit'
export const TARGETS_KEY = 'state/targets'
export const SETTINGS_KEY = 'state/settings'
/** Prefix of the leader's own records. */
export const STATE_PREFIX = 'state/'
export const JOB_PREFIX = 'jobs/'
export const CANCEL_SUFFIX = '/cancelled'
export const PROGRESS_PREFIX = 'progress/'

/** Key of what a leader has learned. */
export function learnedKey (record: LearnedRecord): string {
  return `${STATE_PREFIX}learned/${record}`
}

export function jobKey (id: string): string {
  return `${JOB_PREFIX}${id}`
}

export function cancelKey (id: string): string {
  return `${JOB_PREFIX}${id}${CANCEL_SUFFIX}`
}

/** Parses the job id in a key that `cancelKey` has created. */
export function parseCancelKey (key: string): string {
  return key.slice(JOB_PREFIX.length, -CANCEL_SUFFIX.length)
}

export function progressKey (id: string): string {
  return `${PROGRESS_PREFIX}${id}`
}

/** The current leader, as stored under `lead/holder`. */
export type LeaderRecord = {
  readonly member: string
  /** Address at which the other members reach the leader. */
  readonly address: string
  /** Increases with each takeover; targets refuse commands of earlier terms. */
  readonly term: number
  /** Distinguishes this claim from other claims of the same member. */
  readonly nonce: string
  /** Lease to which the record is bound; missing in records of older releases. */
  readonly lease?: LeaseId
}

/** A term whose runs may still be on targets, because no later leader has listed them or waited for their leases. */
export type UnsettledTerm = {
  readonly term: number
  readonly leader: Peer
  /** Whether a later leader knows that this one sends no more commands, so that only the leases of its runs count. */
  readonly commandsEnded?: boolean
  /**
   * How long its commands go on at most, in milliseconds from the writing of the record; negative if they had ended before. A
   * reader counts from its reading, which is later. Missing in records of older releases.
   */
  readonly commandsEndInMs?: number
  /** Its witnesses, as its last commit named them. */
  readonly witnesses?: readonly Peer[]
}

/** The last commit or takeover, as stored under `state/commit`. */
export type CommitRecord = {
  readonly term: number
  readonly nonce: string
  readonly leader: Peer
  /** Earlier terms that are not settled; missing if there are none. */
  readonly unsettled?: readonly UnsettledTerm[]
  /** Last term whose run numbers the leader may use; missing at the start of a term and in records of older releases. */
  readonly reservedTerm?: number
  /**
   * Members that have to confirm the term to its leader while the store does not respond; missing as long as it has chosen none,
   * and in records of older releases.
   */
  readonly witnesses?: readonly Peer[]
}

/** Targets that may hold runs, as stored under `state/targets`. */
export type TargetsRecord = {
  readonly ids: readonly string[]
  /** Targets that get no more starts, with the tasks that may run there; they are not in `ids`. */
  readonly closed?: ClosedTargets
  /** The incarnations that commands were measured for; missing in records of older releases. */
  readonly incarnations?: Incarnations
  /**
   * Targets whose commands may reach a later incarnation than the one that is meant; commands to others are bound to it. Missing in
   * records of older releases, whose leaders and relays may have sent commands that were not.
   */
  readonly unbound?: readonly string[]
}
