import type { CommandClient, CommandResponse, CommandTarget, ListRequest, ListResponse, StartCommand, StopCommand, ThrottleCommand } from '../ports/command-client.ts'
import { Moment } from '../util/moment.ts'
import type { Clocks } from '../util/moment.ts'
import { MAX_ANSWER_AGE_MS } from '../workflow/list-request.ts'
import type { Reporter } from './reporter.ts'

const NOT_SENT = { type: 'unanswered', reason: 'incarnation-not-confirmed' } as const

/** The last incarnation of a target that has answered a list request, and when. */
type Answer = { readonly incarnation: number, readonly at: Moment }

export type IncarnationCheckOptions = {
  readonly commands: CommandClient
  readonly reporter: Reporter
  readonly clocks?: Clocks
}

/**
 * Sends a start only if the incarnation that it is meant for has answered just before. A restarted target takes commands that
 * were meant for its incarnation before, under the same id and at the same address, and its clock begins anew: a lease that was
 * measured on the clock before would last as long as a lease can. Nobody would know of it until the target answers again.
 */
export class IncarnationCheck implements CommandClient {
  private readonly answers = new Map<string, Answer>()
  /** Pending questions for the incarnation of a target; the starts of a moment share one. */
  private readonly questions = new Map<string, Promise<unknown>>()
  private seenRunningAt: Moment
  private pauses = 0

  private constructor (private readonly options: IncarnationCheckOptions) {
    this.seenRunningAt = Moment.now(options.clocks)
  }

  /**
   * Wraps the client of one process.
   *
   * @example
   * const commands = IncarnationCheck.create({ commands: WorkerCommands.create(), reporter })
   * await commands.start({ id: 't1', address: '10.128.0.9:8080', incarnation: 1_790_000_000_000 }, command)
   */
  static create (options: IncarnationCheckOptions): IncarnationCheck {
    return new IncarnationCheck(options)
  }

  async start (target: CommandTarget, command: StartCommand): Promise<CommandResponse> {
    if (!this.isConfirmed(target)) await this.ask(target, command.epoch)
    if (this.isConfirmed(target)) return this.options.commands.start(target, command)
    this.options.reporter.count('start-withheld', NOT_SENT.reason)
    return NOT_SENT
  }

  stop (target: CommandTarget, command: StopCommand): Promise<CommandResponse> {
    return this.options.commands.stop(target, command)
  }

  throttle (target: CommandTarget, command: ThrottleCommand): Promise<CommandResponse> {
    return this.options.commands.throttle(target, command)
  }

  async list (target: CommandTarget, request: ListRequest): Promise<ListResponse> {
    this.notePause()
    const { pauses } = this
    const response = await this.options.commands.list(target, request)
    this.notePause()
    // What is read after a pause of this process may have been sent before it.
    if (response.type === 'listed' && pauses === this.pauses) this.recordAnswer(target.id, response.listing.incarnation)
    return response
  }

  private isConfirmed ({ id, incarnation }: CommandTarget): boolean {
    if (incarnation === undefined) return true
    const answer = this.answers.get(id)
    return answer?.incarnation === incarnation && answer.at.ageMs <= MAX_ANSWER_AGE_MS
  }

  private async ask (target: CommandTarget, epoch: number): Promise<void> {
    const question = this.questions.get(target.id) ?? this.list(target, { epoch, acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 })
    this.questions.set(target.id, question)
    this.options.reporter.count('incarnation-asked', 'start')
    try {
      await question
    } finally {
      if (this.questions.get(target.id) === question) this.questions.delete(target.id)
    }
  }

  private recordAnswer (id: string, incarnation: number): void {
    // Responses on different connections may overtake each other.
    if (incarnation < (this.answers.get(id)?.incarnation ?? -Infinity)) return
    this.answers.set(id, { incarnation, at: Moment.now(this.options.clocks) })
  }

  private notePause (): void {
    if (this.seenRunningAt.ageMs > MAX_ANSWER_AGE_MS) this.pauses += 1
    this.seenRunningAt = Moment.now(this.options.clocks)
  }
}
