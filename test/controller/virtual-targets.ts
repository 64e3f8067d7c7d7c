import { NO_LISTENER, WITHHELD } from '../../src/ports/command-client.ts'
import type { CommandResponse, ConnectionCommands, ListRequest, ListResponse, StartCommand } from '../../src/ports/command-client.ts'
import { toTerm } from '../../src/controller/leadership/fencing-number.ts'
import type { Random } from '../../src/util/random.ts'
import { LastRuns } from '../workflow/last-runs.ts'
import { LONGEST_LEASE_MS, SimulatedTarget } from '../workflow/simulated-target.ts'
import type { CommandOutcome } from '../workflow/simulated-target.ts'
import type { RunHistory } from './run-history.ts'
import { VirtualConnections } from './virtual-connections.ts'
import { TARGET_PREFIX } from './virtual-member.ts'
import type { VirtualStore } from './virtual-store.ts'
import type { VirtualProcess, VirtualTime } from './virtual-time.ts'

const TIMEOUT_MS = 300
const MAX_LATENCY_MS = 4
/** A command that is carried out late is so after this time and up to `LATE_SPREAD_MS` more. */
const LATE_MS = 2_000
const LATE_SPREAD_MS = 10_000
const MIN_DURATION_MS = 50

const UNANSWERED = { type: 'unanswered', reason: 'timeout' } as const
const REFUSED = { type: 'unanswered', reason: NO_LISTENER } as const

const RESET = { type: 'unanswered', reason: 'broken' } as const
const NOT_SENT = { type: 'unanswered', reason: WITHHELD } as const

type Unanswered = typeof UNANSWERED | typeof REFUSED | typeof RESET | typeof NOT_SENT

/** The way from a member to the targets. */
type VirtualLink = { readonly isCut: (target: string) => boolean, readonly connections: VirtualConnections }

type SendLimits = { readonly mayBeSent?: (() => boolean) | undefined, readonly lateRatio?: number }

/** Payload of tasks that last until they are stopped; that of others is their longest duration in milliseconds. */
export const LASTING_PAYLOAD = 'lasting'

/** The targets of a cell in virtual time, and the ways to them from the members. */
export class VirtualTargets {
  readonly targets = new Map<string, SimulatedTarget>()
  /** Ratio of the commands that are carried out late and not answered. */
  lateRatio = 0
  /** The same for starts only, where it is higher. */
  lateStartRatio = 0
  /** Whether a command that an incarnation has not carried out yet ends with it; else the next one carries it out. */
  lateCommandsEndWithTarget = false
  /** Targets that close each connection after their answer. */
  closingIds: ReadonlySet<string> = new Set()
  readonly lastRuns = LastRuns.create()
  /** End of each target's lease, on its own clock. */
  private readonly leases = new Map<string, number>()

  private constructor (private readonly time: VirtualTime, private readonly random: Random, private readonly store: VirtualStore, private readonly history: RunHistory, private readonly longestLeaseMs: number) {}

  static create (time: VirtualTime, random: Random, store: VirtualStore, history: RunHistory, longestLeaseMs = LONGEST_LEASE_MS): VirtualTargets {
    return new VirtualTargets(time, random, store, history, longestLeaseMs)
  }

  add (id: string): void {
    const { history, lastRuns, longestLeaseMs, time } = this
    const target = SimulatedTarget.create({
      id,
      random: this.random,
      longestLeaseMs,
      onCompletion: ({ task, run, outcome }) => {
        lastRuns.recordEnd(task, { run, target: id, end: outcome, endedAt: time.nowMs })
        if (outcome === 'done') history.recordDone(task, run, id, time.nowMs)
      },
      onAcknowledged: ({ task, run, outcome }) => {
        if (outcome === 'done') history.recordAcknowledged(task, run)
      }
    })
    this.targets.set(id, target)
    this.publish(target)
  }

  publish (target: SimulatedTarget): void {
    this.store.put(`${TARGET_PREFIX}${target.id}`, JSON.stringify(target.toEntry()))
  }

  /** Starts a target again under its id; it holds and knows nothing of before. */
  restart (target: SimulatedTarget): void {
    this.endRuns(target, 'with the process of its target')
    target.crash(this.time.nowMs)
    this.publish(target)
  }

  /**
   * Crashes a target, which is silent for a time and then starts again under its id. Nothing is published: the next incarnation does
   * not reach the store.
   */
  crash (target: SimulatedTarget, downMs: number): void {
    this.endRuns(target, 'with the process of its target')
    target.unreachableUntil = this.time.nowMs + downMs
    this.time.schedule(downMs, () => target.crash(this.time.nowMs))
  }

  /** Takes a target away with all that it holds and knows. Its host refuses connections, or nothing answers there. */
  takeAway (target: SimulatedTarget, away: 'silent' | 'refusing'): void {
    this.endRuns(target, 'as its target went away')
    target.goAway(away)
  }

  /** Starts a target again that was taken away. */
  bringBack (target: SimulatedTarget): void {
    target.comeBack(this.time.nowMs)
    this.publish(target)
  }

  private endRuns (target: SimulatedTarget, end: string): void {
    target.completeDueRuns(this.time.nowMs)
    this.lastRuns.recordLoss(target.runs.values(), { target: target.id, end, endedAt: this.time.nowMs })
    this.leases.delete(target.id)
    this.history.recordLapse(target.id)
  }

  /** Creates the client of a member; `isCut` says whether it does not reach a target now. */
  connect (isCut: (target: string) => boolean): ConnectionCommands {
    const link: VirtualLink = { isCut, connections: VirtualConnections.create((address) => this.isClosing(address)) }
    const command = (id: string, carryOut: (target: SimulatedTarget) => CommandOutcome, limits: SendLimits = {}): Promise<CommandResponse> => {
      const target = this.targets.get(id)!
      return this.send<CommandResponse>(target, link, () => this.toResponse(target, carryOut(target)), limits)
    }
    return {
      start: ({ id }, start, mayBeSent) => command(id, (target) => this.start(target, start), { mayBeSent, lateRatio: Math.max(this.lateRatio, this.lateStartRatio) }),
      stop: ({ id }, { task, run, epoch }) => command(id, (target) => target.stop(task, run, epoch, this.time.nowMs)),
      throttle: async () => UNANSWERED,
      list: ({ id }, request, mayBeSent) => this.list(this.targets.get(id)!, request, link, mayBeSent),
      // The address of each target is its own.
      getConnectedAt: (address) => link.connections.getOpenedAt(address)
    }
  }

  private isClosing (address: string): boolean {
    return [...this.closingIds].some((id) => this.targets.get(id)?.toEntry().address === address)
  }

  private start (target: SimulatedTarget, { task, run, leaseUntilMs, epoch, payload }: StartCommand): CommandOutcome {
    const { nowMs } = this.time
    target.completeDueRuns(nowMs)
    this.noteLapse(target)
    const isKnown = target.runs.get(task)?.run === run
    const durationMs = payload === LASTING_PAYLOAD ? Infinity : MIN_DURATION_MS + this.random.nextInt(Number(payload))
    const outcome = target.start({ task, run, leaseUntilMs, epoch, durationMs, fails: false, lacksRoom: false }, nowMs)
    if (outcome === 'accepted' || outcome === 'superseded') this.noteLease(target, leaseUntilMs)
    if (outcome === 'accepted' && !isKnown) this.lastRuns.recordStart(task, nowMs)
    if (outcome === 'accepted' && !isKnown) this.history.recordStart(task, run, toTerm(epoch), target, this.targets.values(), nowMs)
    return outcome
  }

  private toResponse (target: SimulatedTarget, outcome: CommandOutcome): CommandResponse {
    const clockMs = Math.floor(target.clockAt(this.time.nowMs))
    return outcome === 'accepted' ? { type: 'accepted', clockMs } : { type: 'refused', reason: outcome, clockMs }
  }

  /** Lists as the target does: at once if a run has ended, else when one ends or the request has waited. */
  private async list (target: SimulatedTarget, { epoch, acknowledged, leaseUntilMs, waitMs }: ListRequest, link: VirtualLink, mayBeSent: (() => boolean) | undefined): Promise<ListResponse> {
    const { incarnation } = target
    const first = await this.send<ListResponse>(target, link, () => this.listNow(target, epoch, acknowledged, leaseUntilMs), { mayBeSent })
    if (waitMs === 0 || first.type !== 'listed' || first.listing.ended.length > 0) return first
    const { nowMs } = this.time
    const nextEndAt = Math.min(nowMs + waitMs, ...[...target.runs.values()].map(({ endsAt }) => endsAt))
    await this.time.wait(nextEndAt - nowMs + 1)
    // The connection of a waiting request ends with the process of its target.
    if (target.incarnation !== incarnation) return UNANSWERED
    return this.send<ListResponse>(target, link, () => this.listNow(target, epoch, acknowledged, undefined))
  }

  private listNow (target: SimulatedTarget, epoch: number, acknowledged: number, leaseUntilMs: number | undefined): ListResponse {
    this.noteLapse(target)
    const listing = target.list(epoch, acknowledged, leaseUntilMs, this.time.nowMs)
    if (listing === 'fenced') return { type: 'refused', reason: 'fenced' }
    if (leaseUntilMs !== undefined) this.noteLease(target, leaseUntilMs)
    return { type: 'listed', listing }
  }

  /** Notes whether the lease has ended before the call that may extend it. */
  private noteLapse (target: SimulatedTarget): void {
    if (target.clockAt(this.time.nowMs) > (this.leases.get(target.id) ?? 0)) this.history.recordLapse(target.id)
  }

  private noteLease (target: SimulatedTarget, leaseUntilMs: number): void {
    const longestLeaseUntilMs = target.clockAt(this.time.nowMs) + this.longestLeaseMs
    this.leases.set(target.id, Math.max(this.leases.get(target.id) ?? 0, Math.min(leaseUntilMs, longestLeaseUntilMs)))
  }

  /** Carries out a call of the process that sends it, which gets the response unless it is lost. */
  private send<Response> (target: SimulatedTarget, { isCut, connections }: VirtualLink, carryOut: () => Response, { mayBeSent, lateRatio = this.lateRatio }: SendLimits = {}): Promise<Response | Unanswered> {
    const owner: VirtualProcess | undefined = this.time.currentProcess
    return new Promise((resolve) => {
      const respond = (response: Response | Unanswered, delayMs: number): void => { this.time.schedule(delayMs, () => resolve(response), owner) }
      const isReachable = (): boolean => !isCut(target.id) && target.isReachable(this.time.nowMs)
      if (target.away === 'refusing' && !isCut(target.id)) return respond(REFUSED, this.drawLatencyMs())
      if (!isReachable()) return respond(UNANSWERED, TIMEOUT_MS)
      if (!connections.use(target.toEntry(), performance.now())) return respond(RESET, this.drawLatencyMs())
      if (mayBeSent?.() === false) return respond(NOT_SENT, 0)
      const { incarnation } = target
      if (this.random.next() < lateRatio) {
        this.time.schedule(LATE_MS + this.random.nextInt(LATE_SPREAD_MS), () => {
          if (target.away === undefined && (target.incarnation === incarnation || !this.lateCommandsEndWithTarget)) carryOut()
        })
        return respond(UNANSWERED, TIMEOUT_MS)
      }
      this.time.schedule(this.drawLatencyMs(), () => {
        if (target.away !== undefined) return respond(UNANSWERED, TIMEOUT_MS)
        // The connection has ended with the incarnation that accepted it.
        if (target.incarnation !== incarnation) return respond(RESET, 0)
        const response = carryOut()
        if (isReachable()) respond(response, this.drawLatencyMs())
        else respond(UNANSWERED, TIMEOUT_MS)
      })
    })
  }

  private drawLatencyMs (): number {
    return 1 + this.random.next() * MAX_LATENCY_MS
  }
}
