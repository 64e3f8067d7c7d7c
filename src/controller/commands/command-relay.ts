import type { CommandClient, SendPermission } from '../../ports/command-client.ts'
import { assertNever } from '../../util/assert-never.ts'
import { toTerm } from '../leadership/fencing-number.ts'
import { RELAY_BATCH_MS } from './relay-message.ts'
import type { RelayEntry, RelayReply, RelayRequest, RelayedCommand, RelayedResponse } from './relay-message.ts'
import type { Reporter } from '../reporter.ts'

export type CommandRelayOptions = {
  readonly commands: CommandClient
  readonly reporter: Reporter
  /** The latest term that this member has seen; commands of earlier terms are refused. */
  readonly getLatestTerm: () => number
  /** Time of day in milliseconds since 1970. */
  readonly now?: () => number
}

/** Why a relay does not send a command any more. */
type Obstacle = 'too-late' | 'earlier-term' | 'stream-closed'

/** Sends the commands of the leader to targets. It decides nothing, and retries nothing. */
export class CommandRelay {
  private constructor (private readonly options: CommandRelayOptions) {}

  /**
   * Creates the relay of one member.
   *
   * @example
   * const relay = CommandRelay.create({ commands, reporter, getLatestTerm: () => leadership.latestTerm })
   * const session = relay.open((reply) => stream.write(reply))
   * session.handle({ sequence: 1, entries: [] })
   */
  static create (options: CommandRelayOptions): CommandRelay {
    return new CommandRelay(options)
  }

  /** Opens a session for one stream of a leader. */
  open (reply: (message: RelayReply) => void): RelaySession {
    return RelaySession.create((entry, isOpen) => this.execute(entry, isOpen), reply)
  }

  /** Looks for obstacles again when the command is written: it may have waited for its target or for a connection. */
  private async execute (entry: RelayEntry, isOpen: () => boolean): Promise<RelayedResponse> {
    const { relayed } = entry
    let obstacle = this.findObstacle(entry, isOpen)
    if (obstacle !== undefined) return this.withhold(relayed, obstacle, true)
    const response = await this.send(relayed, () => {
      obstacle = this.findObstacle(entry, isOpen)
      return obstacle === undefined
    })
    return obstacle === undefined ? response : this.withhold(relayed, obstacle, 'sent' in response && response.sent === false)
  }

  private findObstacle ({ relayed, validUntilMs }: RelayEntry, isOpen: () => boolean): Obstacle | undefined {
    // The process may have been suspended, or the message may have waited in a buffer.
    if (this.now() > validUntilMs) return 'too-late'
    if (toTerm(relayed.command.epoch) < this.options.getLatestTerm()) return 'earlier-term'
    return isOpen() ? undefined : 'stream-closed'
  }

  /** `isUnsent`: the command certainly was not written. */
  private withhold ({ type }: RelayedCommand, obstacle: Obstacle, isUnsent: boolean): RelayedResponse {
    const { reporter } = this.options
    switch (obstacle) {
      case 'earlier-term':
        reporter.count('relay-withheld', obstacle)
        return type === 'list' ? { type: 'refused', reason: 'fenced' } : { type: 'refused', reason: 'fenced', clockMs: undefined }
      case 'too-late':
      case 'stream-closed':
        reporter.count('relay-withheld', `${type}-${obstacle}`)
        return { type: 'unanswered', reason: obstacle, ...isUnsent && { sent: false as const } }
      default: return assertNever(obstacle)
    }
  }

  private send (relayed: RelayedCommand, mayBeSent: SendPermission): Promise<RelayedResponse> {
    const { commands } = this.options
    switch (relayed.type) {
      case 'start': return commands.start(relayed.target, relayed.command, mayBeSent)
      case 'stop': return commands.stop(relayed.target, relayed.command, mayBeSent)
      case 'throttle': return commands.throttle(relayed.target, relayed.command, mayBeSent)
      case 'list': return commands.list(relayed.target, relayed.command, mayBeSent)
      default: return assertNever(relayed)
    }
  }

  private now (): number {
    return this.options.now?.() ?? Date.now()
  }
}

/** Executes a command while its stream is open. */
type RelayEntryExecutor = (entry: RelayEntry, isOpen: () => boolean) => Promise<RelayedResponse>

/** Executes the commands of one stream and gathers the responses of a few milliseconds into one message. */
export class RelaySession {
  private readonly responses: Array<RelayReply['responses'][number]> = []
  private lastSequence = 0
  private replyScheduled = false
  private closed = false

  private constructor (private readonly execute: RelayEntryExecutor, private readonly reply: (message: RelayReply) => void) {}

  static create (execute: RelayEntryExecutor, reply: (message: RelayReply) => void): RelaySession {
    return new RelaySession(execute, reply)
  }

  handle ({ sequence, entries }: RelayRequest): void {
    this.lastSequence = sequence
    for (const entry of entries) {
      this.execute(entry, () => !this.closed).then((response) => this.addResponse(entry, response), (error: unknown) => this.addResponse(entry, { type: 'unanswered', reason: String(error) }))
    }
    if (entries.length === 0) this.scheduleReply()
  }

  /** Discards the commands and responses that have not been sent, because the stream of the leader has ended. */
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
