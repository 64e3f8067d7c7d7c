import type { CommandClient } from '../ports/command-client.ts'
import { assertNever } from '../util/assert-never.ts'
import { toTerm } from './fencing-number.ts'
import { RELAY_BATCH_MS } from './relay-message.ts'
import type { RelayEntry, RelayReply, RelayRequest, RelayedCommand, RelayedResponse } from './relay-message.ts'
import type { Reporter } from './reporter.ts'

export type CommandRelayOptions = {
  readonly commands: CommandClient
  readonly reporter: Reporter
  /** The latest term that this member has seen; commands of earlier terms are refused. */
  readonly getLatestTerm: () => number
  /** Time of day in milliseconds since 1970. */
  readonly now?: () => number
}

/** Sends the commands of the leader to targets. It decides nothing, and retries nothing. */
export class CommandRelay {
  private constructor (private readonly options: CommandRelayOptions) {}

  /**
   * Creates the relay of one member.
   *
   * @example
   * const relay = CommandRelay.create({ commands, reporter, getLatestTerm: () => leadership.leader?.term ?? 0 })
   * const session = relay.open((reply) => stream.write(reply))
   * session.handle({ sequence: 1, entries: [] })
   */
  static create (options: CommandRelayOptions): CommandRelay {
    return new CommandRelay(options)
  }

  /** Opens a session for one stream of a leader. */
  open (reply: (message: RelayReply) => void): RelaySession {
    return RelaySession.create((entry) => this.execute(entry), reply)
  }

  private async execute ({ relayed, validUntilMs }: RelayEntry): Promise<RelayedResponse> {
    // The process may have been suspended, or the message may have waited in a buffer.
    if (this.now() > validUntilMs) return this.withhold(relayed, 'too-late')
    if (toTerm(relayed.command.epoch) < this.options.getLatestTerm()) {
      this.options.reporter.count('relay-withheld', 'earlier-term')
      return relayed.type === 'list' ? { type: 'refused', reason: 'fenced' } : { type: 'refused', reason: 'fenced', clockMs: undefined }
    }
    return this.send(relayed)
  }

  private withhold ({ type }: RelayedCommand, reason: string): RelayedResponse {
    this.options.reporter.count('relay-withheld', `${type}-${reason}`)
    return { type: 'unanswered', reason }
  }

  private send (relayed: RelayedCommand): Promise<RelayedResponse> {
    const { commands } = this.options
    switch (relayed.type) {
      case 'start': return commands.start(relayed.target, relayed.command)
      case 'stop': return commands.stop(relayed.target, relayed.command)
      case 'throttle': return commands.throttle(relayed.target, relayed.command)
      case 'list': return commands.list(relayed.target, relayed.command)
      default: return assertNever(relayed)
    }
  }

  private now (): number {
    return this.options.now?.() ?? Date.now()
  }
}

/** Executes the commands of one stream and gathers the responses of a few milliseconds into one message. */
export class RelaySession {
  private readonly responses: Array<RelayReply['responses'][number]> = []
  private lastSequence = 0
  private replyScheduled = false
  private closed = false

  private constructor (private readonly execute: (entry: RelayEntry) => Promise<RelayedResponse>, private readonly reply: (message: RelayReply) => void) {}

  static create (execute: (entry: RelayEntry) => Promise<RelayedResponse>, reply: (message: RelayReply) => void): RelaySession {
    return new RelaySession(execute, reply)
  }

  handle ({ sequence, entries }: RelayRequest): void {
    this.lastSequence = sequence
    for (const entry of entries) {
      this.execute(entry).then((response) => this.addResponse(entry, response), (error: unknown) => this.addResponse(entry, { type: 'unanswered', reason: String(error) }))
    }
    if (entries.length === 0) this.scheduleReply()
  }

  /** Discards the responses that have not been sent, because the leader has closed the stream. */
  close (): void {
    this.closed = true
  }

  private addResponse ({ number }: RelayEntry, response: RelayedResponse): void {
    this.responses.push({ number, response })
    this.scheduleReply()
  }

  private scheduleReply (): void {
    if (this.replyScheduled) return
    this.replyScheduled = true
    setTimeout(() => this.sendReply(), RELAY_BATCH_MS)
  }

  private sendReply (): void {
    this.replyScheduled = false
    if (!this.closed) this.reply({ sequence: this.lastSequence, responses: this.responses.splice(0) })
  }
}
