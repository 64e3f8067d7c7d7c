import type { MemberId, TeamName } from '../model/ids.ts'
import type { CallerMessage, TeamAmount } from '../model/peer.ts'
import type { CountEffect, LogEffect } from '../model/report.ts'
import type { Resources } from '../model/resources.ts'
import type { Target } from '../model/target.ts'
import type { TargetCall } from '../ports/target-client.ts'

/** A put or delete of one key in a group commit. */
export type CommitWrite =
  | { readonly type: 'put', readonly key: string, readonly value: string }
  | { readonly type: 'delete', readonly key: string }

/** An action that an owned group requests. */
export type GroupEffect =
  | { readonly type: 'target-call', readonly callId: string, readonly target: Target, readonly call: TargetCall }
  /** Reads all entries with the prefix; the result arrives as `loaded`. */
  | { readonly type: 'load', readonly prefix: string }
  /** Adds the writes to the next group commit; the outcome arrives as `commit-settled`. */
  | { readonly type: 'commit', readonly commitId: string, readonly writes: readonly CommitWrite[] }
  | { readonly type: 'send', readonly to: MemberId, readonly message: CallerMessage }
  /** The group is ready after a change of owner; `used` is the usage of each team on the targets listed so far. */
  | { readonly type: 'recovered', readonly used: readonly TeamAmount[] }
  | { readonly type: 'demand-changed', readonly team: TeamName, readonly used: Resources, readonly wanted: Resources }
  | CountEffect
  | LogEffect
