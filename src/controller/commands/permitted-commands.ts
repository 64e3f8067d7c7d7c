import type { CommandClient, CommandResponse, CommandTarget, ListRequest, ListResponse, StartCommand, StopCommand, ThrottleCommand } from '../../ports/command-client.ts'

const NOT_SENT = { type: 'unanswered', reason: 'not-permitted' } as const

/** Sends commands only while that is permitted as they are written; others count as unanswered and are sent again later. */
export class PermittedCommands implements CommandClient {
  private constructor (private readonly commands: CommandClient, private readonly isGranted: () => boolean) {}

  /**
   * Wraps a client.
   *
   * @example
   * const commands = PermittedCommands.create(relayedCommands, () => permission.isGranted())
   */
  static create (commands: CommandClient, isGranted: () => boolean): PermittedCommands {
    return new PermittedCommands(commands, isGranted)
  }

  async start (target: CommandTarget, command: StartCommand): Promise<CommandResponse> {
    return this.isGranted() ? this.commands.start(target, command, this.isGranted) : NOT_SENT
  }

  async stop (target: CommandTarget, command: StopCommand): Promise<CommandResponse> {
    return this.isGranted() ? this.commands.stop(target, command, this.isGranted) : NOT_SENT
  }

  async throttle (target: CommandTarget, command: ThrottleCommand): Promise<CommandResponse> {
    return this.isGranted() ? this.commands.throttle(target, command, this.isGranted) : NOT_SENT
  }

  async list (target: CommandTarget, command: ListRequest): Promise<ListResponse> {
    return this.isGranted() ? this.commands.list(target, command, this.isGranted) : NOT_SENT
  }
}
