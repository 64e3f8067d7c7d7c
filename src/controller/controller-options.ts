import type { AdviceResponse, Advisor, CachedAdvice, CommandClient } from '../ports/command-client.ts'
import type { Store } from '../ports/store.ts'
import type { SchedulingFeatures } from '../settings/index.ts'
import type { JobMemory } from '../workflow/held-jobs.ts'
import type { TargetEntry } from '../workflow/target-entry.ts'
import type { EarlierLeadersOptions } from './leadership/earlier-leaders.ts'
import type { Peer } from './member-call.ts'
import type { RelayStreamOpener } from './commands/relay-message.ts'

/** What the work of a leader needs of its member and of the platform. */
export type ControllerOptions = Omit<EarlierLeadersOptions, 'isStopped' | 'now'> & {
  readonly store: Store
  readonly commands: CommandClient
  /** Opens the stream to a member that sends commands on behalf of this leader. */
  readonly openRelayStream: RelayStreamOpener
  readonly advisor: Advisor
  /** How long runs may continue after the last command or list request, in milliseconds. */
  readonly leaseMs: number
  /** The longest lease of a target, in milliseconds. */
  readonly longestLeaseMs: number
  /** Prefix of the keys under which targets publish themselves. */
  readonly targetPrefix: string
  /** Parses the value that a target has published; undefined if it is not a valid target. */
  readonly parseTarget: (key: string, value: string) => TargetEntry | undefined
  /** Requests advice through another member. */
  readonly requestPeerAdvice: (peer: Peer, step: string, targets: readonly string[], timeoutMs: number) => Promise<AdviceResponse>
  /** Requests the advisor responses that a member has received for a previous leader. */
  readonly requestCachedAdvice: (peer: Peer) => Promise<readonly CachedAdvice[]>
  /** Whether the store has confirmed the lease so recently that no other member can lead. */
  readonly isLeaseConfirmed: () => boolean
  /** Until when certainly no other member could lead, on the monotonic clock. */
  readonly getAloneUntil: () => number
  /** Asks a member to confirm that it knows of no later term; false without a response. Without it, the leader has no witnesses. */
  readonly requestConfirmation?: (peer: Peer, term: number) => Promise<boolean>
  readonly onFenced: (reason: string) => void
  /** Memory for the jobs that have not ended; without it, that of a process with the default heap. */
  readonly jobMemory?: JobMemory
  /** Features of the scheduler during this term; without them, none is on. */
  readonly features?: SchedulingFeatures
}
