import type { CommandResponse, CommandTarget, ListRequest, ListResponse, StartCommand, StopCommand, ThrottleCommand } from '../../ports/command-client.ts'

/** How long commands, and responses, are gathered into one message, in milliseconds. */
export const RELAY_BATCH_MS = 5

/** A command or list request that a member sends to a target on behalf of the leader. */
export type RelayedCommand =
  | { readonly type: 'start', readonly target: CommandTarget, readonly command: StartCommand }
  | { readonly type: 'stop', readonly target: CommandTarget, readonly command: StopCommand }
  | { readonly type: 'throttle', readonly target: CommandTarget, readonly command: ThrottleCommand }
  | { readonly type: 'list', readonly target: CommandTarget, readonly command: ListRequest }

/** The target's response to a relayed command. */
export type RelayedResponse = CommandResponse | ListResponse

/** A relayed command with its number on the stream. */
export type RelayEntry = {
  readonly number: number
  readonly relayed: RelayedCommand
  /** Time of day after which the command must not be sent any more, in milliseconds since 1970. */
  readonly validUntilMs: number
}

/** One message of the leader: a batch of commands, or none to check that the relay responds. */
export type RelayRequest = { readonly sequence: number, readonly entries: readonly RelayEntry[] }

/** One message of the relay: `sequence` of the last message that it has received, and the responses since its last message. */
export type RelayReply = { readonly sequence: number, readonly responses: ReadonlyArray<{ readonly number: number, readonly response: RelayedResponse }> }

/** The leader's end of an open stream to a relay. */
export type RelayStream = {
  readonly send: (request: RelayRequest) => void
  readonly close: () => void
}

/** Receives the messages of a relay. `onClosed` is called at most once, when the stream ends without `close`. */
export type RelayStreamEvents = {
  readonly onReply: (reply: RelayReply) => void
  readonly onClosed: (reason: string) => void
}

/** Opens a stream to the relay at an address. */
export type RelayStreamOpener = (address: string, events: RelayStreamEvents) => RelayStream
