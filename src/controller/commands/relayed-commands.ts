import { NO_LISTENER } from '../../ports/command-client.ts'
import type { CommandClient, CommandResponse, CommandTarget, ListRequest, ListResponse, SendPermission, StartCommand, StopCommand, ThrottleCommand } from '../../ports/command-client.ts'
import { hash } from '../../util/hash.ts'
import type { Peer } from '../member-call.ts'
import { RELAY_CLOSED, RELAY_LOST, RelayConnection } from './relay-connection.ts'
import type { RelayStreamOpener, RelayedCommand, RelayedResponse } from './relay-message.ts'
import { selectRelays } from './relay-selection.ts'
import type { TargetCounts } from './relay-selection.ts'
import type { Reporter } from '../reporter.ts'

/** A relay that was lost is not used again for this time, in milliseconds. */
const LOST_RELAY_COOLDOWN_MS = 3_000
/** A target that did not respond through a relay is called through another one for this time, in milliseconds. */
const DETOUR_PERIOD_MS = 3_000

/** Relays through which a target did not respond, and until when they are not used for it. */
type Detour = { readonly avoided: ReadonlySet<string>, readonly until: number }

export type RelayedCommandsOptions = {
  /** Sends commands from this process. */
  readonly direct: CommandClient
  readonly open: RelayStreamOpener
  readonly reporter: Reporter
  readonly getFailureDomain: (target: string) => string | undefined
  readonly now?: () => number
}

/**
 * Sends the leader's commands through members near the targets, so that the leader's processor and connections do not bound
 * the cell. A target that did not respond through its relay is called through another, because a target that one member cannot
 * reach may be reachable from another. The leader calls a target itself while it has no relay that may be used.
 */
export class RelayedCommands implements CommandClient {
  private readonly connections = new Map<string, RelayConnection>()
  private relaysByDomain: ReadonlyMap<string, readonly Peer[]> = new Map()
  private readonly cooldownUntil = new Map<string, number>()
  /** By target id. */
  private readonly detours = new Map<string, Detour>()

  private constructor (private readonly options: RelayedCommandsOptions) {}

  /**
   * Creates a client without relays.
   *
   * @example
   * const commands = RelayedCommands.create({ direct, open, reporter, getFailureDomain: (id) => scheduler.getTarget(id)?.entry.failureDomain })
   * commands.update(members, targetCounts) // regularly
   */
  static create (options: RelayedCommandsOptions): RelayedCommands {
    return new RelayedCommands(options)
  }

  /** Selects the relays among the members that are present now, and checks those in use. */
  update (members: readonly Peer[], targetCounts: TargetCounts): void {
    const now = this.now()
    for (const [member, until] of this.cooldownUntil) {
      if (until <= now) this.cooldownUntil.delete(member)
    }
    for (const [target, { until }] of this.detours) {
      if (until <= now) this.detours.delete(target)
    }
    this.relaysByDomain = selectRelays(members.filter(({ member }) => !this.cooldownUntil.has(member)), targetCounts)
    for (const connection of [...this.connections.values()]) connection.checkSilence()
    this.closeUnusedConnections()
  }

  start (target: CommandTarget, command: StartCommand, mayBeSent?: SendPermission): Promise<CommandResponse> {
    const connection = this.findConnection(target)
    return connection === undefined ? this.options.direct.start(target, command, mayBeSent) : this.sendCommand(connection, { type: 'start', target, command })
  }

  stop (target: CommandTarget, command: StopCommand, mayBeSent?: SendPermission): Promise<CommandResponse> {
    const connection = this.findConnection(target)
    return connection === undefined ? this.options.direct.stop(target, command, mayBeSent) : this.sendCommand(connection, { type: 'stop', target, command })
  }

  throttle (target: CommandTarget, command: ThrottleCommand, mayBeSent?: SendPermission): Promise<CommandResponse> {
    const connection = this.findConnection(target)
    return connection === undefined ? this.options.direct.throttle(target, command, mayBeSent) : this.sendCommand(connection, { type: 'throttle', target, command })
  }

  async list (target: CommandTarget, command: ListRequest, mayBeSent?: SendPermission): Promise<ListResponse> {
    const connection = this.findConnection(target)
    if (connection === undefined) return this.options.direct.list(target, command, mayBeSent)
    const response = await this.sendThrough(connection, { type: 'list', target, command })
    return response.type === 'accepted' ? { type: 'unanswered', reason: 'mismatched' } : response
  }

  /** Number of targets that are not called through the first of their relays now. */
  get detourCount (): number {
    return this.detours.size
  }

  /** Closes the connections to the relays. */
  close (): void {
    this.relaysByDomain = new Map()
    for (const connection of this.connections.values()) connection.close()
    this.connections.clear()
  }

  private async sendCommand (connection: RelayConnection, relayed: RelayedCommand): Promise<CommandResponse> {
    const response = await this.sendThrough(connection, relayed)
    switch (response.type) {
      case 'listed': return { type: 'unanswered', reason: 'mismatched' }
      case 'refused': return { clockMs: undefined, ...response }
      default: return response
    }
  }

  private async sendThrough (connection: RelayConnection, relayed: RelayedCommand): Promise<RelayedResponse> {
    const response = await connection.send(relayed)
    if (response.type !== 'unanswered') return response
    this.options.reporter.count('relay-unanswered', response.reason)
    if (mayRespondElsewhere(response.reason)) this.recordDetour(relayed.target.id, connection.peer.member)
    return response
  }

  private recordDetour (target: string, member: string): void {
    const avoided = new Set([...this.detours.get(target)?.avoided ?? [], member])
    this.detours.set(target, { avoided, until: this.now() + DETOUR_PERIOD_MS })
  }

  private findConnection (target: CommandTarget): RelayConnection | undefined {
    const domain = this.options.getFailureDomain(target.id)
    const avoided = this.detours.get(target.id)?.avoided
    const relays = (domain === undefined ? [] : this.relaysByDomain.get(domain) ?? []).filter(({ member }) => avoided?.has(member) !== true)
    return relays.length === 0 ? undefined : this.getConnection(chooseRelay(target.id, relays))
  }

  private getConnection (peer: Peer): RelayConnection | undefined {
    if (this.cooldownUntil.has(peer.member)) return undefined
    const existing = this.connections.get(peer.member)
    if (existing?.peer.address === peer.address) return existing
    existing?.close()
    const connection = RelayConnection.create({ peer, open: this.options.open, now: this.options.now, onLost: (reason) => this.handleLost(peer, reason) })
    this.connections.set(peer.member, connection)
    return connection
  }

  private handleLost ({ member, address }: Peer, reason: string): void {
    if (this.connections.get(member)?.peer.address !== address) return
    this.connections.delete(member)
    this.cooldownUntil.set(member, this.now() + LOST_RELAY_COOLDOWN_MS)
    this.options.reporter.log('warn', 'relay-lost', { member, reason })
  }

  /** Closes the connections to members that are no longer relays, once they have no pending commands. */
  private closeUnusedConnections (): void {
    const used = new Set([...this.relaysByDomain.values()].flat().map(({ member }) => member))
    for (const [member, connection] of this.connections) {
      if (used.has(member) || connection.pendingCount > 0) continue
      this.connections.delete(member)
      connection.close()
    }
  }

  private now (): number {
    return this.options.now?.() ?? performance.now()
  }
}

/**
 * Whether a target that did not respond through a relay may respond through another. A connection to a relay that has ended
 * says nothing about the target; a host that refuses the connection does so to each caller.
 */
function mayRespondElsewhere (reason: string): boolean {
  return reason !== RELAY_LOST && reason !== RELAY_CLOSED && reason !== NO_LISTENER
}

/** Chooses the relay of a target by rendezvous hashing, so that a lost relay moves only its own targets. */
function chooseRelay (target: string, relays: readonly Peer[]): Peer {
  let best = relays[0]!
  let bestWeight = -1
  for (const peer of relays) {
    const weight = hash(`${peer.member}#${target}`)
    if (weight <= bestWeight) continue
    best = peer
    bestWeight = weight
  }
  return best
}
