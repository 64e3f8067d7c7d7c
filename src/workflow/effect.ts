import type { ThrottleCommand, StartCommand, StopCommand } from '../ports/command-client.ts'
import type { ClosedTargets } from './takeover/closed-targets.ts'
import type { Incarnations } from './takeover/earlier-leases.ts'
import type { LearnedRecord } from './learned-records.ts'
import type { RemovedSettings } from './settings/removed-settings.ts'
import type { SilentTargetsById } from './takeover/silent-targets.ts'

type WithoutEpoch<Command> = Omit<Command, 'epoch'>

/**
 * Action that the scheduler of a cell requests. `series`: the series of commands to the target that it belongs to, see `TargetState`.
 * `mayReachNext`: it is stored that commands to the target may reach a later incarnation.
 */
export type CellEffect =
  | { readonly type: 'start', readonly target: string, readonly incarnation: number, readonly series: number, readonly id: string, readonly address: string, readonly mayReachNext?: true, readonly command: WithoutEpoch<StartCommand> }
  | { readonly type: 'stop', readonly target: string, readonly incarnation: number, readonly series: number, readonly id: string, readonly address: string, readonly command: WithoutEpoch<StopCommand> }
  | { readonly type: 'throttle', readonly target: string, readonly series: number, readonly id: string, readonly address: string, readonly command: WithoutEpoch<ThrottleCommand> }
  /** `urgent`: the step is in a queue with the highest priority, or one of its tasks lasts and has had no run for too long. */
  | { readonly type: 'request-advice', readonly step: string, readonly targets: readonly string[], readonly costMs: number, readonly urgent: boolean }
  | { readonly type: 'store-progress', readonly job: string }
  | { readonly type: 'forget-job', readonly job: string }
  /** Reads a deferred job and its progress from the store. */
  | { readonly type: 'load-job', readonly job: string }
  | { readonly type: 'store-targets', readonly ids: readonly string[], readonly closed: ClosedTargets, readonly incarnations: Incarnations, readonly unbound?: readonly string[] | undefined }
  | { readonly type: 'store-silent-targets', readonly targets: SilentTargetsById }
  | { readonly type: 'store-settings', readonly record: RemovedSettings }
  /** What the owner has learned, to be stored with the next commit. */
  | { readonly type: 'store-learned', readonly record: LearnedRecord, readonly value: string }
  | { readonly type: 'watch-target', readonly id: string }
  | { readonly type: 'forget-target', readonly id: string }
  /** A target has seen a newer epoch: this owner must stop. */
  | { readonly type: 'fenced', readonly target: string }
  | { readonly type: 'log', readonly level: 'info' | 'warn' | 'error', readonly message: string, readonly fields: Readonly<Record<string, string | number | boolean>> }
  | { readonly type: 'count', readonly counter: string, readonly reason: string }
