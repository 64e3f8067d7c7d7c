import { Budget } from './budget.ts'
import type { ByteExcess, RequestExcess } from './budget.ts'
import type { CallerConnection } from './caller-connection.ts'
import { chooseVictim } from './connection-state.ts'
import type { OverdueReason } from './connection-state.ts'
import { computeLimits } from './ingress-limits.ts'
import type { IngressLimits } from './ingress-limits.ts'
import { DEFAULT_INGRESS_SETTINGS } from './ingress-settings.ts'
import type { IngressSettings } from './ingress-settings.ts'
import { readProcessResources } from './process-resources.ts'
import type { ProcessResources } from './process-resources.ts'
import { ReadScheduler } from './read-scheduler.ts'

/** Why a connection was closed without a response. */
export type ClosedReason = OverdueReason | ByteExcess | RequestExcess | 'connections' | 'request-too-long' | 'malformed'

/** Receives the log lines and counts. */
export type IngressReporter = {
  readonly log: (level: 'warn', message: string, fields: Readonly<Record<string, string | number>>) => void
  readonly count: (counter: string, reason: string) => void
}

/** `resources`: what the settings say of those of the process; the operating system is asked for the rest. */
export type IngressOptions = {
  readonly settings: IngressSettings
  readonly reporter: IngressReporter
  readonly resources?: Partial<ProcessResources>
}

/** A server whose connections are swept. */
export type SweptPort = { readonly sweep: (now: number) => void }

/** Part of the requests that those may take which are followed by others, unread, on their connections. */
const PIPELINED_PART = 0.5
const SWEEP_INTERVAL_MS = 250
const REPORT_INTERVAL_MS = 1_000

/** Limits what callers hold in a process before their requests are accepted, over all ports. */
export class Ingress {
  limits: IngressLimits
  readonly scheduler = ReadScheduler.create()
  readonly connections = new Set<CallerConnection>()
  private readonly ports = new Set<SweptPort>()
  private readonly budget = Budget.create()
  private readonly resources: ProcessResources
  /** Refusals and closed connections since the last log lines, by message and reason. */
  private readonly unreported = new Map<string, number>()
  private reportedAtMs = 0

  private constructor ({ settings, resources }: IngressOptions, private readonly reporter: IngressReporter) {
    this.resources = readProcessResources(resources)
    this.limits = computeLimits(settings, this.resources)
    setInterval(() => this.sweep(performance.now()), SWEEP_INTERVAL_MS).unref()
  }

  /**
   * Creates the limits of a process, which all its ports share.
   *
   * @example
   * const ingress = Ingress.create({ settings: settings.features.ingress, reporter })
   * const port = IngressPort.create({ ingress, kind: 'callers', getMaxBodyBytes: () => 262_144 })
   */
  static create (options: IngressOptions): Ingress {
    return new Ingress(options, options.reporter)
  }

  /** Creates limits with the default settings that report nothing. */
  static createDefault (): Ingress {
    return Ingress.create({ settings: DEFAULT_INGRESS_SETTINGS, reporter: { log: () => {}, count: () => {} } })
  }

  /** Applies changed settings to what happens from now on. */
  updateSettings (settings: IngressSettings): void {
    this.limits = computeLimits(settings, this.resources)
  }

  addPort (port: SweptPort): void {
    this.ports.add(port)
  }

  account (organisation: string | undefined, bytes: number, requests: number): void {
    this.budget.add(organisation, bytes, requests)
  }

  /**
   * Counts a request for an organisation, and gives up an unfinished or unread one in its place if there are too many.
   * Returns why the request is refused: nothing of it has taken effect, and it may be sent again.
   */
  admit (connection: CallerConnection, organisation: string): RequestExcess | undefined {
    connection.assign(organisation)
    const isPipelined = connection.isPipelining
    for (;;) {
      const excess = this.budget.findRequestExcess(organisation, this.limits, isPipelined ? PIPELINED_PART : 1)
      if (excess === undefined) return undefined
      const holders = [...this.connections].filter((holder) => holder !== connection && holder.requests > 0 && (excess === 'requests' || holder.organisation === organisation))
      const victim = isPipelined ? undefined : chooseVictim(holders, ({ state }) => state, 'request')
      if (victim === undefined) {
        this.countRefused(excess)
        return excess
      }
      this.giveUp(victim, excess)
    }
  }

  /** Gives up other connections, or this one, until the held bytes are within the limits again. */
  enforceBytes (connection: CallerConnection): void {
    for (;;) {
      const { organisation } = connection
      const excess = this.budget.findByteExcess(organisation, this.limits)
      if (excess === undefined) return
      const holders = [...this.connections].filter((holder) => holder.held > 0 && (excess === 'bytes' || holder.organisation === organisation))
      const victim = holders.length > 1 ? chooseVictim(holders, ({ state }) => state, 'bytes') : undefined
      if (victim === undefined) return
      this.giveUp(victim, excess)
    }
  }

  countRefused (reason: ByteExcess | RequestExcess): void {
    this.report('ingress-refused', reason)
  }

  countClosed (reason: ClosedReason): void {
    this.report('ingress-closed', reason)
  }

  private giveUp (connection: CallerConnection, reason: ByteExcess | RequestExcess): void {
    if (connection.abortBody !== undefined) {
      this.countRefused(reason)
      connection.releaseRequests()
      return connection.abortBody('overloaded')
    }
    this.countClosed(reason)
    if (connection.state.phase === 'serving') connection.refuseFurther()
    else connection.destroy()
  }

  private report (message: 'ingress-refused' | 'ingress-closed', reason: string): void {
    this.reporter.count(message, reason)
    const key = `${message} ${reason}`
    this.unreported.set(key, (this.unreported.get(key) ?? 0) + 1)
  }

  private sweep (now: number): void {
    for (const port of this.ports) port.sweep(now)
    if (now - this.reportedAtMs < REPORT_INTERVAL_MS) return
    this.reportedAtMs = now
    for (const [key, count] of this.unreported) {
      const [message, reason] = key.split(' ') as [string, string]
      this.reporter.log('warn', message, { reason, count, connections: this.connections.size, heldBytes: this.budget.bytes, requests: this.budget.requests, maxConnections: this.limits.maxConnections, maxHeldBytes: this.limits.heldBytes, maxRequests: this.limits.maxRequests })
    }
    this.unreported.clear()
  }
}
