import type { ListResponse, CommandClient } from '../ports/command-client.ts'
import type { CellEvent } from '../workflow/event.ts'
import { buildListRequest } from '../workflow/list-request.ts'
import type { TargetState } from '../workflow/target-state.ts'
import { delay } from './delay.ts'
import type { Reporter } from './reporter.ts'

/** How long the next listing waits for ends to be stored, so that it can acknowledge them. */
const STORE_WAIT_MS = 60
const RETRY_MS = 250
/** Least time between two listings while ends cannot be acknowledged. */
const UNACKNOWLEDGED_PAUSE_MS = 200

export type TargetSessionOptions = {
  readonly id: string
  readonly commands: CommandClient
  readonly epoch: number
  readonly leaseMs: number
  readonly report: Reporter
  readonly target: () => TargetState | undefined
  readonly apply: (event: CellEvent) => void
  /** Resolves with the next commit. */
  readonly nextCommit: () => Promise<void>
  /** Whether this member may still send orders. */
  readonly mayOrder: () => boolean
}

/** Keeps the lease of one target's runs and reads its ends, with one listing at a time. */
export class TargetSession {
  private readonly stopped = new AbortController()
  /** The last listing had no answer. */
  private doubtful = false

  private constructor (private readonly options: TargetSessionOptions) {}

  /**
   * @example
   * const session = TargetSession.create({ id: 't-1', orders, epoch: 3, leaseMs: 3_500, report, target, apply, nextCommit, mayOrder })
   */
  static create (options: TargetSessionOptions): TargetSession {
    const session = new TargetSession(options)
    session.run().catch((error: unknown) => options.report.log('error', 'target-session-failed', { target: options.id, detail: String(error) }))
    return session
  }

  stop (): void {
    this.stopped.abort()
  }

  private async run (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      const target = this.options.target()
      if (target === undefined) return
      if (!this.options.mayOrder()) {
        await delay(RETRY_MS, this.stopped.signal)
        continue
      }
      await this.exchange(target)
    }
  }

  private async exchange (target: TargetState): Promise<void> {
    const { id, commands, epoch } = this.options
    const sentAt = performance.now()
    const order = buildListRequest(target, sentAt, this.options.leaseMs, this.doubtful)
    const answer = await commands.list({ id, address: target.entry.address }, { ...order, epoch })
    if (this.stopped.signal.aborted) return
    await this.take(target, answer, sentAt)
  }

  private async take (target: TargetState, answer: ListResponse, sentAt: number): Promise<void> {
    const { id, apply } = this.options
    if (answer.type === 'unanswered' && !this.doubtful) {
      // One lost answer must not take the target out of use, nor hide the ends of its runs for long.
      this.doubtful = true
      return
    }
    this.doubtful = false
    if (answer.type !== 'listed') {
      apply({ type: 'target-silent', id, refusal: answer.type === 'refused' ? answer.reason : undefined })
      return delay(RETRY_MS, this.stopped.signal)
    }
    apply({ type: 'target-listed', id, sentAt, listing: answer.listing })
    if (target.lastProcessed === target.lastAcknowledged) return
    await Promise.race([this.options.nextCommit(), delay(STORE_WAIT_MS, this.stopped.signal)])
    if (target.lastProcessed !== target.lastAcknowledged && answer.listing.ended.length > 0) await delay(UNACKNOWLEDGED_PAUSE_MS, this.stopped.signal)
  }
}
