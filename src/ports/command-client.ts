import type { TargetListing } from '../workflow/target-entry.ts'

/** The target that a command is meant for. */
export type CommandTarget = {
  readonly id: string
  readonly address: string
  /**
   * The incarnation that a command with a lease is meant for; neither the id nor the address tells the incarnations of a target apart.
   * Missing in commands that members of older releases relay.
   */
  readonly incarnation?: number
  /** The leader has stored that commands to this target may reach a later incarnation than the one that is meant. */
  readonly mayReachNext?: true
}

/** Starts a run of a task. */
export type StartCommand = {
  readonly task: string
  readonly run: number
  readonly payload: string
  /** Time on the target's clock until which everything on it may run. */
  readonly leaseUntilMs: number
  readonly epoch: number
  readonly checkpoint: string
  readonly ticket: string | undefined
}

/** Stops a run of a task. */
export type StopCommand = { readonly task: string, readonly run: number, readonly epoch: number }

/** Limits a run to `percent` of its full speed. */
export type ThrottleCommand = StopCommand & { readonly percent: number }

/** Requests the runs and completions of a target, and extends its lease. */
export type ListRequest = {
  readonly epoch: number
  /** Completions up to this number are stored; the target may discard them. */
  readonly acknowledged: number
  readonly leaseUntilMs: number | undefined
  /** How long the response may wait for a completion. */
  readonly waitMs: number
}

/**
 * Why a target did not execute a command, or may not have.
 *
 * `fenced`: the target has seen a newer epoch. `superseded`: the target already had this or a later run of the task.
 * `expired`: the command's lease had expired. `no-room`: the target has too little free capacity. `no-ticket`: the command
 * has no valid ticket. `invalid`: the command itself is malformed.
 * `unhealthy`: the target did nothing. `failed`: the target failed while it handled the command, and may have executed it.
 * `other-incarnation`: another target responds at the address.
 */
export type CommandRefusal = 'fenced' | 'superseded' | 'expired' | 'no-room' | 'no-ticket' | 'invalid' | 'unhealthy' | 'failed' | 'other-incarnation'

/** Reason of an unanswered request: no process listens at the address, so that the target's process has ended. */
export const NO_LISTENER = 'no-listener'

/** Response to a command; `clockMs` is the time on the target's clock. */
export type CommandResponse =
  | { readonly type: 'accepted', readonly clockMs: number | undefined }
  | { readonly type: 'refused', readonly reason: CommandRefusal, readonly clockMs: number | undefined }
  /** The command may have been executed, or may be executed later, unless `sent` is false: then it certainly was not sent. */
  | { readonly type: 'unanswered', readonly reason: string, readonly sent?: false }

/** Response to a list request. */
export type ListResponse =
  /** `isReduced`: the request was sent without its cursor and lease, because the target may have restarted. */
  | { readonly type: 'listed', readonly listing: TargetListing, readonly isReduced?: true }
  | { readonly type: 'refused', readonly reason: CommandRefusal }
  | { readonly type: 'unanswered', readonly reason: string }

/** Reason of an unanswered request: it was not sent, because its sender did not allow it any more. */
export const WITHHELD = 'withheld'

/** Whether a command may be written to a connection, asked just before that; by default it may. */
export type SendPermission = () => boolean

/** Sends commands to targets. A command that may not be sent any more when its turn comes is answered with the reason `withheld`. */
export type CommandClient = {
  readonly start: (target: CommandTarget, command: StartCommand, mayBeSent?: SendPermission) => Promise<CommandResponse>
  readonly stop: (target: CommandTarget, command: StopCommand, mayBeSent?: SendPermission) => Promise<CommandResponse>
  readonly throttle: (target: CommandTarget, command: ThrottleCommand, mayBeSent?: SendPermission) => Promise<CommandResponse>
  readonly list: (target: CommandTarget, request: ListRequest, mayBeSent?: SendPermission) => Promise<ListResponse>
}

/** Sends commands on connections that it keeps open. */
export type ConnectionCommands = CommandClient & {
  /** When the last connection to an address was opened, on the monotonic clock; -Infinity if none was. */
  readonly getConnectedAt: (address: string) => number
}

/** Permission of the advisor to run a step on a target. */
export type Ticket = { readonly target: string, readonly ticket: string }

/** Response of the advisor; the tickets stay valid for `validityMs`. */
export type AdviceResponse =
  | { readonly type: 'advised', readonly tickets: readonly Ticket[], readonly validityMs: number | undefined }
  | { readonly type: 'failed', readonly reason: string }

/** A response that a member has received: the targets that were named, the tickets, and how long these remain valid. */
export type CachedAdvice = {
  readonly step: string
  readonly asked: readonly string[]
  readonly tickets: readonly Ticket[]
  readonly validForMs: number
}

/** Asks the service that knows which targets may run a step. */
export type Advisor = {
  readonly advise: (step: string, targets: readonly string[], timeoutMs: number) => Promise<AdviceResponse>
}
