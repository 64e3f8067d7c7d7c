import { NO_LISTENER } from '../../ports/command-client.ts'
import type { ListResponse, CommandClient } from '../../ports/command-client.ts'
import type { CellEvent, SilenceCause } from '../../workflow/event.ts'
import { buildListRequest } from '../../workflow/list-request.ts'
import type { TargetState } from '../../workflow/target-state.ts'
import { delay } from '../delay.ts'
import { computeFencingNumber } from '../leadership/fencing-number.ts'
import { isGeneralList } from './is-general-list.ts'
import type { Reporter } from '../reporter.ts'

/**
 * How long the next list request waits for completions to be stored, so that it can acknowledge them, in milliseconds.
 */
const COMMIT_WAIT_MS = 60
const RETRY_DELAY_MS = 250
/** Pause before the next list request while completions cannot be acknowledged, in milliseconds. */
const UNACKNOWLEDGED_PAUSE_MS = 200
/** Pause before the next list request after several in a row were sent without lease and cursor, in milliseconds. */
const REDUCED_PAUSE_MS = 100

export type TargetSessionOptions = {
  readonly id: string
  readonly commands: CommandClient
  readonly term: number
  readonly leaseMs: number
  readonly reporter: Reporter
  readonly getTarget: () => TargetState | undefined
  readonly applyEvent: (event: CellEvent) => void
  /** Resolves with the next commit. */
  readonly waitForCommit: () => Promise<void>
  /** Whether the target may get leases and starts. */
  readonly isCommanded: () => boolean
  /** Whether commands to the target may reach a later incarnation, and that is stored; without it they may not. */
  readonly mayReachNext?: () => boolean
  /** Whether this member may still send commands. */
  readonly canSendCommands: () => boolean
}

/** When a list request was sent, and whether it carried neither a lease nor a cursor. */
type SentList = { readonly sentAt: number, readonly isGeneral: boolean }

/** Renews the lease of one target's runs and reads their completions, with one list request at a time. */
export class TargetSession {
  private readonly stopped = new AbortController()
  /** Whether the last list request got no response. */
  private lastListUnanswered = false

  private constructor (private readonly options: TargetSessionOptions) {}

  /**
   * Starts a session, which runs until it is stopped or the target is removed.
   *
   * @example
   * const session = TargetSession.create({ id: 't-1', commands, term: 3, leaseMs: 3_500, reporter, getTarget, applyEvent, waitForCommit, isCommanded, canSendCommands })
   */
  static create (options: TargetSessionOptions): TargetSession {
    const session = new TargetSession(options)
    session.runListLoop().catch((error: unknown) => session.reportFailure(error))
    return session
  }

  stop (): void {
    this.stopped.abort()
  }

  private async runListLoop (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      const target = this.options.getTarget()
      if (target === undefined) return
      if (!this.options.canSendCommands()) {
        await delay(RETRY_DELAY_MS, this.stopped.signal)
        continue
      }
      await this.tryListRuns(target)
    }
  }

  /** Lists the runs of the target. An unexpected error must not end the session: nothing else reads the ends of its runs. */
  private async tryListRuns (target: TargetState): Promise<void> {
    try {
      await this.listRuns(target)
    } catch (error) {
      this.reportFailure(error)
      await delay(RETRY_DELAY_MS, this.stopped.signal)
    }
  }

  private reportFailure (error: unknown): void {
    this.options.reporter.log('error', 'target-session-failed', { target: this.options.id, detail: String(error) })
  }

  private async listRuns (target: TargetState): Promise<void> {
    const { id, commands, term } = this.options
    const sentAt = performance.now()
    const request = buildListRequest(target, sentAt, this.options.leaseMs, this.options.isCommanded())
    const addressee = { id, address: target.entry.address, incarnation: target.entry.incarnation, ...this.options.mayReachNext?.() === true && { mayReachNext: true as const } }
    const { commandSeries } = target
    const response = await commands.list(addressee, { ...request, epoch: computeFencingNumber(term, commandSeries) })
    if (this.stopped.signal.aborted || (response.type !== 'listed' && this.isReplaced(target))) return
    // A command of the next series has overtaken it.
    if (response.type === 'refused' && response.reason === 'fenced' && commandSeries < target.commandSeries) return
    await this.handleListResponse(target, response, { sentAt, isGeneral: isGeneralList(request) })
  }

  /** Whether the target has restarted since: a request to the incarnation before that is refused says nothing of this one. */
  private isReplaced (target: TargetState): boolean {
    const current = this.options.getTarget()
    return current !== undefined && current.entry.incarnation !== target.entry.incarnation
  }

  private async handleListResponse (target: TargetState, response: ListResponse, { sentAt, isGeneral }: SentList): Promise<void> {
    const { id, applyEvent } = this.options
    if (response.type === 'unanswered' && !this.lastListUnanswered) {
      // A single lost response must not take the target out of use or delay the completions of its runs.
      this.lastListUnanswered = true
      return applyEvent({ type: 'list-unanswered', id })
    }
    this.lastListUnanswered = false
    if (response.type !== 'listed') {
      applyEvent({ type: 'target-silent', id, cause: toSilenceCause(response) })
      return delay(RETRY_DELAY_MS, this.stopped.signal)
    }
    // The target has not got the cursor, which must be sent again: it lists the completions before it at once until then.
    if (response.isReduced === true) target.sentCursor = 0
    applyEvent({ type: 'target-listed', id, sentAt, listing: response.listing, ...!isGeneral && { isReduced: response.isReduced === true } })
    if (target.reducedListings > 1) await delay(REDUCED_PAUSE_MS, this.stopped.signal)
    if (target.lastProcessed === target.lastAcknowledged) return
    await Promise.race([this.options.waitForCommit(), delay(COMMIT_WAIT_MS, this.stopped.signal)])
    if (target.lastProcessed !== target.lastAcknowledged && response.listing.ended.length > 0) await delay(UNACKNOWLEDGED_PAUSE_MS, this.stopped.signal)
  }
}

function toSilenceCause (response: Exclude<ListResponse, { type: 'listed' }>): SilenceCause {
  if (response.type === 'refused') return response.reason
  return response.reason === NO_LISTENER ? NO_LISTENER : 'no-answer'
}
