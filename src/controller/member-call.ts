import type { AdviceResponse, CachedAdvice } from '../ports/command-client.ts'
import type { StoreCall, StoreFailure, StoreResponse } from '../ports/store.ts'
import type { Overload } from '../workflow/advice/advice-backlog.ts'
import type { CompletionForecast } from '../workflow/forecast/completion-forecast.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'
import type { StandDown } from './leadership/leadership.ts'

/** A member of the cell and the address at which it accepts calls of other members. */
export type Peer = {
  readonly member: string
  readonly address: string
  /** Failure domain and processor cores of its host, where the member has sent them. */
  readonly failureDomain?: string
  readonly cores?: number
  /**
   * Whether the member, as a leader and as a relay, sends what gives a lease only to the incarnation that is meant. Missing in hellos
   * and records of older releases.
   */
  readonly bindsCommands?: true
}

/** A call from one member to another. */
export type MemberCall =
  /** Registers the sender with the leader; sent once a second. */
  | { readonly type: 'hello', readonly peer: Peer }
  /** The sender has stored a job. */
  | { readonly type: 'job-stored', readonly definition: JobDefinition }
  /** The sender has stored the cancellation of a job. */
  | { readonly type: 'cancel-stored', readonly id: string }
  /** Requests the phase of a job from the leader. */
  | { readonly type: 'phase', readonly id: string }
  /** The sender has won this term; the leader of an earlier term stops immediately. */
  | { readonly type: 'stand-down', readonly term: number }
  /** The sender leads this term, and asks whether the member knows of no later one; not known to older releases. */
  | { readonly type: 'confirm-term', readonly term: number }
  /** Requests advice on behalf of the leader: the advisor handles one call of each member at a time. */
  | { readonly type: 'advise', readonly step: string, readonly targets: readonly string[], readonly timeoutMs: number }
  /** Requests a check whether an address refuses connections of another member too. */
  | { readonly type: 'probe', readonly address: string }
  /** Requests the advisor responses that the member has cached. */
  | { readonly type: 'known-advice' }
  /**
   * Requests a call to the store on behalf of the sender, which waits for `timeoutMs`; not known to older releases. A watch is
   * answered at once.
   */
  | { readonly type: 'store-call', readonly call: StoreCall, readonly timeoutMs: number }

/** Why a member has not sent a call to the store. */
export type StoreCallRefusal = 'off' | 'malformed' | 'busy' | 'lost' | 'late'

/** Response of a member to a call. */
export type MemberResponse =
  | { readonly type: 'known-advice', readonly advice: readonly CachedAdvice[] }
  /**
   * `peers`: some other members. `waiting`: number of jobs without a started task, by queue; undefined while the leader reads
   * the store. `overloads`: long waits for advice; `forecasts`: long waits for room; `isFull`: no further large job should be accepted; `isFullForAll`: no further job at all; `largeJobBytes`: memory that the member may fill with large jobs until its next hello. These
   * aren't sent by leaders of an earlier version.
   */
  | { readonly type: 'welcome', readonly peers: readonly Peer[], readonly waiting: Readonly<Record<string, number>> | undefined, readonly overloads?: readonly Overload[], readonly forecasts?: readonly CompletionForecast[], readonly isFull?: boolean, readonly isFullForAll?: boolean, readonly largeJobBytes?: number }
  /** The leader has applied what the sender has stored. */
  | { readonly type: 'noted' }
  /** The member leads no earlier term. */
  | { readonly type: 'stood-down', readonly standDown: StandDown }
  | { readonly type: 'term-confirmed', readonly confirmed: boolean }
  /** `refused`: whether the address refused the connection. */
  | { readonly type: 'probed', readonly refused: boolean }
  | { readonly type: 'phase', readonly phase: JobPhase | undefined }
  | { readonly type: 'store-response', readonly response: StoreResponse }
  /** `storeResponds`: whether the store serves other calls of the member, so that the failure concerns this call. */
  | { readonly type: 'store-failure', readonly failure: StoreFailure, readonly storeResponds: boolean }
  /** The call was not sent to the store and won't be. */
  | { readonly type: 'store-call-refused', readonly reason: StoreCallRefusal }
  | { readonly type: 'advice', readonly answer: AdviceResponse }
  /** The member does not lead, has not read the store yet, or cannot confirm that it still leads. */
  | { readonly type: 'not-leading' }

/** Why a call got no response. */
export type MemberCallFailure = { readonly reason: 'timeout' | 'unavailable' | 'rejected' }
