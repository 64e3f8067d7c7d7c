import type { CommandResponse } from '../../ports/command-client.ts'

/** Starts and stops of a leader over some time. */
export type CommandCounts = {
  /** Commands that were sent, however often. */
  readonly sent: number
  readonly resent: number
  readonly unanswered: number
}

/** Counts the starts and stops of a leader, so that its log tells work from repetitions. */
export class CommandLoad {
  private sent = 0
  private resent = 0
  private unanswered = 0

  private constructor () {}

  /**
   * Creates a load without commands.
   *
   * @example
   * const load = CommandLoad.create()
   * load.recordSent()
   * load.take() // { sent: 1, resent: 0, unanswered: 0 }
   */
  static create (): CommandLoad {
    return new CommandLoad()
  }

  recordSent (): void {
    this.sent += 1
  }

  recordResent (): void {
    this.resent += 1
  }

  recordResponse ({ type }: Pick<CommandResponse, 'type'>): void {
    if (type === 'unanswered') this.unanswered += 1
  }

  /** Returns the counts since the last call. */
  take (): CommandCounts {
    const { sent, resent, unanswered } = this
    this.sent = 0
    this.resent = 0
    this.unanswered = 0
    return { sent, resent, unanswered }
  }
}
