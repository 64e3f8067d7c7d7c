import { WITHHELD } from '../../ports/command-client.ts'
import type { CommandClient, CommandResponse, CommandTarget, ConnectionCommands, ListRequest, ListResponse, SendPermission, StartCommand, StopCommand, ThrottleCommand } from '../../ports/command-client.ts'
import { Moment } from '../../util/moment.ts'
import type { Clocks } from '../../util/moment.ts'
import { isGeneralList } from './is-general-list.ts'
import type { Reporter } from '../reporter.ts'
import { StartPermit } from './start-permit.ts'

const NOT_SENT = { type: 'unanswered', reason: 'incarnation-not-confirmed', sent: false } as const
/**
 * A start, or another command meanwhile, may open a connection, so that the target has to be asked again. A client opens so many of
 * them at most while the target closes none, and one attempt more succeeds.
 */
const MAX_START_ATTEMPTS = 5

/** How long an answer allows commands on new connections to a target that keeps none open, in milliseconds. */
const MAX_ANSWER_AGE_MS = 200

/** An answer is forgotten after this time without another one, in milliseconds. */
const FORGET_AFTER_MS = 60_000
/** Old answers are looked for no more often than this, in milliseconds. */
const FORGET_INTERVAL_MS = 1_000

/** The incarnation that has answered a list request at an address, and when it was asked, on the monotonic clock. */
type Answer = { readonly incarnation: number, readonly address: string, readonly askedAt: number, readonly asked: Moment }

export type IncarnationCheckOptions = {
  readonly commands: ConnectionCommands
  readonly reporter: Reporter
  readonly clocks?: Clocks
}

/**
 * Sends what gives a lease only to the incarnation of a target that it is meant for. A restarted target takes commands for its
 * incarnation before, under the same id and at the same address, and its clock begins anew: a lease that was measured on the clock
 * before would last as long as a lease can, and nobody would know of it until the target answers again.
 *
 * A connection ends with the process that has accepted it. So if an incarnation answers after a connection was opened, nothing that
 * is sent on this connection reaches a later one. A command is sent only while that holds for all connections to the target, one
 * that was opened for the command itself included; else the target is asked first. A target that closes all its connections gets
 * commands on new ones, right after an answer, but only once the leader has stored that they may reach a later incarnation.
 */
export class IncarnationCheck implements CommandClient {
  /** By target id. */
  private readonly answers = new Map<string, Answer>()
  /** Pending questions for the incarnation of a target; the starts of a moment share one. */
  private readonly questions = new Map<string, Promise<ListResponse>>()
  private lastForgotAt = -Infinity

  private constructor (private readonly options: IncarnationCheckOptions) {}

  /** Number of targets whose last answer is known. */
  get knownCount (): number {
    return this.answers.size
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

  async start (target: CommandTarget, command: StartCommand, isPermitted: SendPermission = isAlwaysPermitted): Promise<CommandResponse> {
    if (target.incarnation === undefined) return this.options.commands.start(target, command, isPermitted)
    const permit = StartPermit.create(isPermitted)
    const response = await Promise.race([this.tryStart(target, command, permit), permit.expired.then(() => NOT_SENT)])
    permit.close()
    if (response === NOT_SENT) this.reportWithheld(target, 'start')
    return response
  }

  private async tryStart (target: CommandTarget, command: StartCommand, permit: StartPermit): Promise<CommandResponse> {
    for (let attempt = 0; attempt < MAX_START_ATTEMPTS && !permit.isExpired; attempt += 1) {
      if (!this.mayBeSent(target) && !await this.ask(target, command.epoch)) break
      // A connection that was opened for the question does not count yet.
      if (!this.mayBeSent(target)) continue
      const response = await this.options.commands.start(target, command, () => permit.isGranted() && this.mayBeSent(target) && permit.use())
      if (!isWithheld(response) || !permit.isGranted()) return response
    }
    return NOT_SENT
  }

  stop (target: CommandTarget, command: StopCommand, isPermitted?: SendPermission): Promise<CommandResponse> {
    return this.options.commands.stop(target, command, isPermitted)
  }

  throttle (target: CommandTarget, command: ThrottleCommand, isPermitted?: SendPermission): Promise<CommandResponse> {
    return this.options.commands.throttle(target, command, isPermitted)
  }

  /** A request that holds for one incarnation only is replaced by one without lease and cursor unless that incarnation is confirmed. */
  async list (target: CommandTarget, request: ListRequest, isPermitted: SendPermission = isAlwaysPermitted): Promise<ListResponse> {
    if (target.incarnation === undefined || isGeneralList(request)) return this.listNow(target, request, isPermitted)
    const response = await this.listNow(target, request, () => isPermitted() && this.mayBeSent(target))
    if (!isWithheld(response) || !isPermitted()) return response
    this.reportWithheld(target, 'list')
    const reduced = await this.listNow(target, toQuestion(request), isPermitted)
    return reduced.type === 'listed' ? { ...reduced, isReduced: true } : reduced
  }

  private async listNow (target: CommandTarget, request: ListRequest, mayBeSent: SendPermission): Promise<ListResponse> {
    const askedAt = this.options.clocks?.monotonic() ?? performance.now()
    const asked = Moment.now(this.options.clocks)
    const response = await this.options.commands.list(target, request, mayBeSent)
    if (response.type === 'listed') this.recordAnswer(target.id, { incarnation: response.listing.incarnation, address: target.address, askedAt, asked })
    return response
  }

  private mayBeSent (target: CommandTarget): boolean {
    const answer = this.findAnswer(target)
    if (answer === undefined) return false
    return this.isConfirmed(target, answer) || (target.mayReachNext === true && answer.asked.ageMs <= MAX_ANSWER_AGE_MS)
  }

  /** Whether the answer came after the last connection to the target had been opened. */
  private isConfirmed ({ address }: CommandTarget, { askedAt }: Answer): boolean {
    return this.options.commands.getConnectedAt(address) < askedAt
  }

  /** Finds the answer of the incarnation that is meant, if it is the latest one to have answered at its address. */
  private findAnswer ({ id, address, incarnation }: CommandTarget): Answer | undefined {
    const answer = this.answers.get(id)
    return answer?.incarnation === incarnation && answer?.address === address ? answer : undefined
  }

  /** Returns whether the incarnation has answered. */
  private async ask (target: CommandTarget, epoch: number): Promise<boolean> {
    const question = this.questions.get(target.id) ?? this.listNow(target, toQuestion({ epoch }), isAlwaysPermitted)
    this.questions.set(target.id, question)
    this.options.reporter.count('incarnation-asked', 'start')
    try {
      const response = await question
      return response.type === 'listed' && response.listing.incarnation === target.incarnation
    } finally {
      if (this.questions.get(target.id) === question) this.questions.delete(target.id)
    }
  }

  /** The scheduler of another process may have sent the command, and knows nothing of the answers that this one has got. */
  private reportWithheld ({ id, incarnation }: CommandTarget, command: 'start' | 'list'): void {
    const { reporter } = this.options
    const answer = this.answers.get(id)
    reporter.count(`${command}-withheld`, NOT_SENT.reason)
    reporter.log(command === 'start' ? 'warn' : 'info', NOT_SENT.reason, {
      target: id,
      command,
      ...incarnation !== undefined && { incarnation },
      ...answer !== undefined && { answeredBy: answer.incarnation, answerAgeMs: Math.round(answer.asked.ageMs) }
    })
  }

  /** Responses on different connections may overtake each other. */
  private recordAnswer (id: string, answer: Answer): void {
    const known = this.answers.get(id)
    if (known === undefined && answer.askedAt - this.lastForgotAt >= FORGET_INTERVAL_MS) this.forgetOldAnswers(answer.askedAt)
    const isNewer = known === undefined || answer.incarnation > known.incarnation || (answer.incarnation === known.incarnation && answer.askedAt > known.askedAt)
    if (isNewer) this.answers.set(id, answer)
  }

  /** Targets come and go; one whose answer is forgotten is asked again. */
  private forgetOldAnswers (now: number): void {
    this.lastForgotAt = now
    for (const [id, { asked }] of this.answers) {
      if (asked.ageMs > FORGET_AFTER_MS) this.answers.delete(id)
    }
  }
}

function isWithheld (response: CommandResponse | ListResponse): boolean {
  return response.type === 'unanswered' && response.reason === WITHHELD
}

/** The list request that asks for the incarnation alone. It gives no lease, so that it may be sent at any time. */
function toQuestion ({ epoch }: Pick<ListRequest, 'epoch'>): ListRequest {
  return { epoch, acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 }
}

function isAlwaysPermitted (): boolean {
  return true
}
