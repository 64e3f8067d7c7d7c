import { computeFencingNumber } from '../../src/controller/leadership/fencing-number.ts'
import { NO_LISTENER } from '../../src/ports/command-client.ts'
import type { ListRequest } from '../../src/ports/command-client.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import type { TargetListing } from '../../src/workflow/target-entry.ts'
import type { TargetState } from '../../src/workflow/target-state.ts'
import type { SimulatedTarget } from './simulated-target.ts'
import type { SimulationOptions } from './simulation-options.ts'
import type { VirtualTime } from './virtual-time.ts'

const POLL_INTERVAL_MS = 40
const RETRY_DELAY_MS = 250
const TIMEOUT_MS = 200
/** Share of the restarts of a target that break off a pending list request; the others happen between two requests. */
const BROKEN_REQUEST_RATIO = 0.7
const LOST_RESPONSE_RATIO = 0.02
const LATE_REQUEST_RATIO = 0.02
/** A request to an incarnation that has not answered on its connection carries no cursor and no lease. */
const REDUCED = { acknowledged: 0, leaseUntilMs: undefined } as const

export type SimulatedSessionOptions = {
  readonly target: SimulatedTarget
  readonly epoch: number
  readonly leaseMs: number
  readonly simulation: SimulationOptions
  readonly time: VirtualTime
  readonly getKnown: () => TargetState | undefined
  /** Whether the leader may give the target leases. */
  readonly isCommanded: () => boolean
  readonly isLeading: () => boolean
  readonly applyEvent: (event: CellEvent) => void
  /** Whether something happens that has this probability, as long as there are faults. */
  readonly occurs: (probability: number) => boolean
  /** Draws how long after it was sent a late request is executed. */
  readonly drawLateDelayMs: () => number
}

/** Requests listings of a target repeatedly until the leader changes, as the session of a leader does. */
export class SimulatedSession {
  private lastListUnanswered = false
  private lastIncarnation: number

  private constructor (private readonly options: SimulatedSessionOptions) {
    this.lastIncarnation = options.target.incarnation
  }

  static start (options: SimulatedSessionOptions): void {
    new SimulatedSession(options).poll()
  }

  private poll (): void {
    const { target, time, getKnown, isLeading, occurs, simulation } = this.options
    if (!isLeading()) return
    const known = getKnown()
    if (known === undefined) return this.pollAfter(RETRY_DELAY_MS)
    const restarted = target.incarnation !== this.lastIncarnation
    this.lastIncarnation = target.incarnation
    if (restarted && simulation.restarting && occurs(BROKEN_REQUEST_RATIO)) return this.handleUnanswered(0)
    const { incarnation } = target
    const isReduced = simulation.connected && incarnation !== known.entry.incarnation
    const request = { ...buildListRequest(known, time.now, this.options.leaseMs, this.options.isCommanded()), ...isReduced && REDUCED, epoch: computeFencingNumber(this.options.epoch, known.commandSeries) }
    if (isReduced) known.sentCursor = 0
    const sentAt = time.now
    if (target.away === 'refusing') return this.handleUnanswered(0)
    if (!target.isReachable(time.now)) return this.handleUnanswered(simulation.restarting ? TIMEOUT_MS : 0)
    if (simulation.late && occurs(LATE_REQUEST_RATIO)) {
      time.schedule(this.options.drawLateDelayMs(), () => { if (!simulation.connected || target.incarnation === incarnation) this.list(request) })
      return this.handleUnanswered(TIMEOUT_MS)
    }
    time.schedule(1, () => {
      if (simulation.connected && target.incarnation !== incarnation) return this.handleUnanswered(0)
      const listing = this.list(request)
      if (listing === undefined) return this.pollAfter(POLL_INTERVAL_MS)
      if (simulation.restarting && occurs(LOST_RESPONSE_RATIO)) return this.handleUnanswered(TIMEOUT_MS)
      this.lastListUnanswered = false
      target.firstAnsweredAt = Math.min(target.firstAnsweredAt, time.now)
      time.schedule(1, () => { if (isLeading()) this.options.applyEvent({ type: 'target-listed', id: target.id, sentAt, listing, isReduced }) })
      this.pollAfter(POLL_INTERVAL_MS)
    })
  }

  /** Returns no listing if the target has left, is away or rejects requests of this leader. */
  private list ({ epoch, acknowledged, leaseUntilMs }: ListRequest): TargetListing | undefined {
    const { target, time } = this.options
    const listing = target.left || target.away !== undefined ? 'fenced' : target.list(epoch, acknowledged, leaseUntilMs, time.now)
    return listing === 'fenced' ? undefined : listing
  }

  /** A single request without an answer is repeated at once; after a second one the target is silent. */
  private handleUnanswered (afterMs: number): void {
    const { target: { id, away }, time, isLeading, applyEvent, simulation } = this.options
    time.schedule(afterMs, () => {
      if (!isLeading()) return
      if (simulation.restarting && !this.lastListUnanswered) {
        this.lastListUnanswered = true
        applyEvent({ type: 'list-unanswered', id })
        return this.poll()
      }
      this.lastListUnanswered = false
      applyEvent({ type: 'target-silent', id, cause: away === 'refusing' ? NO_LISTENER : 'no-answer' })
      this.pollAfter(RETRY_DELAY_MS)
    })
  }

  private pollAfter (delayMs: number): void {
    this.options.time.schedule(delayMs, () => this.poll())
  }
}
