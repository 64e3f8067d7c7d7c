import type { ProbeResult } from '../../src/adapters/probe-address.ts'
import type { MemberCall } from '../../src/controller/member-call.ts'
import type { Reporter } from '../../src/controller/reporter.ts'
import type { JobMemory } from '../../src/workflow/held-jobs.ts'
import type { JobDefinition } from '../../src/workflow/job.ts'
import { Random } from '../../src/util/random.ts'
import type { OwedJob } from '../workflow/cell-view.ts'
import { buildJob } from '../workflow/harness.ts'
import { LONGEST_LEASE_MS } from '../workflow/simulated-target.ts'
import { RunHistory } from './run-history.ts'
import { FURTHER_PORTS, VirtualMember, answerCall, failCall } from './virtual-member.ts'
import type { MemberCallResult } from './virtual-member.ts'
import { VirtualStore } from './virtual-store.ts'
import type { VirtualConnection } from './virtual-store.ts'
import { LASTING_PAYLOAD, VirtualTargets } from './virtual-targets.ts'
import { VirtualTime } from './virtual-time.ts'
import type { VirtualProcess } from './virtual-time.ts'

const CALL_LATENCY_MS = 2
const PROBE_TIMEOUT_MS = 250
const SUBMISSION_TIMEOUT_MS = 3_000

/** A host with the process of a member on it, and what of the network is cut there. */
export type VirtualHost = {
  readonly name: string
  address: string
  process: VirtualProcess
  connection: VirtualConnection
  member: VirtualMember
  refusesConnections: boolean
  cutFromMembers: boolean
  /** Whether the links between this host and all others refuse connections, or accept and close them; its process may run. */
  linksToMembers: 'open' | 'refusing' | 'closing'
  cutFromTargets: boolean
  /** On which side of a parted cell it is; no side reaches the members of another. */
  side: number
  /** Targets that only this host does not reach. */
  unreachedTargets: ReadonlySet<string>
}

export type VirtualCellOptions = {
  readonly members: number
  readonly targets: number
  /** Longest lease of the targets, in milliseconds; 10 s without it. */
  readonly longestLeaseMs?: number
  /** Whether members call the store through others while it refuses them alone. */
  readonly hasDetour?: boolean
  /** Memory of a leader for jobs; without it, the default one. */
  readonly jobMemory?: JobMemory
}

/** One line of a member's log. */
export type LogLine = { readonly at: number, readonly member: string, readonly message: string, readonly fields: Parameters<Reporter['log']>[2] }

/** Members, a store and targets in virtual time, with the product's classes; describes each violation in a text. */
export class VirtualCell {
  readonly violations: string[] = []
  readonly logs: LogLine[] = []
  readonly acceptedJobs = new Set<string>()
  /** The same jobs, with their definitions. */
  readonly acceptances: OwedJob[] = []
  readonly cancelledJobs = new Set<string>()
  readonly hosts: VirtualHost[] = []
  readonly store: VirtualStore
  readonly history: RunHistory
  readonly targets: VirtualTargets
  readonly random: Random
  /** Names in addresses of hosts that are gone; other hosts without a process refuse connections. */
  private readonly silentHosts = new Set<string>()
  /** How the links between the sides of a parted cell end connections. */
  linksBetweenSides: 'silent' | 'refusing' = 'silent'
  private readonly originalRandom = Math.random

  private constructor (seed: number, readonly time: VirtualTime, private readonly longestLeaseMs: number | undefined, private readonly hasDetour: boolean, private readonly jobMemory: JobMemory | undefined) {
    this.random = Random.create(seed)
    Math.random = () => this.random.next()
    const report = (text: string): void => { this.violations.push(`at ${Math.round(time.nowMs)}: ${text}`) }
    this.store = VirtualStore.create(time, this.random, report)
    this.history = RunHistory.create(report)
    this.targets = VirtualTargets.create(time, this.random, this.store, this.history, longestLeaseMs)
  }

  /**
   * Creates a cell and starts its members. Replaces the timers of this process until `close`.
   *
   * @example
   * const cell = VirtualCell.create(7, { members: 4, targets: 6 })
   * await cell.time.advance(2_000)
   * cell.close()
   */
  static create (seed: number, { members, targets, longestLeaseMs, hasDetour = false, jobMemory }: VirtualCellOptions): VirtualCell {
    const cell = new VirtualCell(seed, VirtualTime.install(), longestLeaseMs, hasDetour, jobMemory)
    for (let index = 0; index < targets; index += 1) cell.targets.add(`t${index}`)
    for (let index = 0; index < members; index += 1) cell.addHost(`m${index}`)
    return cell
  }

  close (): void {
    for (const { process } of this.hosts) this.time.end(process)
    Math.random = this.originalRandom
    this.time.uninstall()
  }

  get leaders (): readonly VirtualHost[] {
    return this.hosts.filter(({ process, member }) => process.state !== 'ended' && member.leadsController)
  }

  /** Ends the process of a host: nothing of it runs any more, and the host refuses connections. */
  kill (host: VirtualHost): void {
    this.time.end(host.process)
  }

  /** Takes a host away with its process: nothing answers there until a process starts under its name. */
  takeAway (host: VirtualHost): void {
    this.kill(host)
    this.silentHosts.add(getHostName(host.address))
  }

  /**
   * What a connection attempt to an address finds. A process that is paused accepts, by its kernel. One that refuses connections
   * at the port for members listens at its further ports.
   */
  probe (address: string): ProbeResult {
    const hostName = getHostName(address)
    if (this.silentHosts.has(hostName)) return 'silent'
    const owners = this.hosts.filter((other) => getHostName(other.address) === hostName)
    const host = owners.find(({ process }) => process.state !== 'ended')
    const links = owners.find(({ linksToMembers }) => linksToMembers !== 'open')?.linksToMembers
    if (links !== undefined) return links === 'closing' ? 'listening' : 'refused'
    if (host === undefined) return 'refused'
    if (host.cutFromMembers) return 'silent'
    if (FURTHER_PORTS.some((port) => address === `${hostName}:${port}`)) return 'listening'
    return host.address === address && !host.refusesConnections ? 'listening' : 'refused'
  }

  private probeFrom (from: VirtualHost | undefined, address: string): ProbeResult {
    if (from?.linksToMembers === 'refusing') return 'refused'
    const owner = this.hosts.find((other) => getHostName(other.address) === getHostName(address))
    if (owner !== undefined && from !== undefined && owner.side !== from.side) return this.linksBetweenSides === 'refusing' ? 'refused' : 'silent'
    return this.probe(address)
  }

  /** Starts a new process on a host, at an address that nobody else uses; another name in it stands for another host. */
  restart (host: VirtualHost, address = host.address): void {
    if (address !== host.address && !this.isFree(address)) throw new Error(`${address} belongs to another host`)
    this.kill(host)
    this.silentHosts.delete(getHostName(address))
    host.address = address
    Object.assign(host, this.startMember(host.name, address))
  }

  /** Whether no host has an address, so that one can move there. */
  isFree (address: string): boolean {
    return this.hosts.every((host) => host.address !== address)
  }

  /** Submits a job of one step whose tasks last until it is cancelled. */
  submitLasting (host: VirtualHost, id: string, count: number): void {
    const { steps } = buildJob(id, { count, longRunning: true })
    this.submit(host, id, [], 0, { steps, payload: LASTING_PAYLOAD })
  }

  /** Submits a job of some steps at a member; `maxDurationMs` bounds the time that each task runs. */
  submit (host: VirtualHost, id: string, counts: readonly number[], maxDurationMs: number, changes: Partial<JobDefinition> = {}): void {
    const definition = { ...buildJob(id, ...counts.map((count, step) => ({ count, after: step === 0 ? [] : [step - 1] }))), payload: String(maxDurationMs), submittedAtMs: Date.now(), ...changes }
    this.time.schedule(0, () => {
      host.member.jobService.submit(definition, performance.now() + SUBMISSION_TIMEOUT_MS).then(({ type }) => {
        if (type !== 'accepted') return
        this.acceptedJobs.add(id)
        this.acceptances.push({ definition, acceptedAt: this.time.nowMs })
      }, (error: unknown) => this.violations.push(String(error)))
    }, host.process)
  }

  cancel (host: VirtualHost, id: string): void {
    this.cancelledJobs.add(id)
    this.time.schedule(0, () => { host.member.jobService.cancel(id, performance.now() + SUBMISSION_TIMEOUT_MS).catch((error: unknown) => this.violations.push(String(error))) }, host.process)
  }

  private addHost (name: string): void {
    const address = `${name}:1`
    const host: VirtualHost = { name, address, refusesConnections: false, cutFromMembers: false, linksToMembers: 'open', side: 0, cutFromTargets: false, unreachedTargets: new Set(), ...this.startMember(name, address) }
    this.hosts.push(host)
  }

  private startMember (name: string, address: string): Pick<VirtualHost, 'process' | 'connection' | 'member'> {
    const process = this.time.startProcess()
    const connection = this.store.connect()
    const findHost = (): VirtualHost | undefined => this.hosts.find((host) => host.name === name)
    const member = this.time.runIn(process, () => VirtualMember.start({
      self: { member: name, address, bindsCommands: true },
      store: connection,
      hasDetour: this.hasDetour,
      jobMemory: this.jobMemory,
      commands: this.targets.connect((target) => findHost()?.cutFromTargets === true || findHost()?.unreachedTargets.has(target) === true),
      callMember: (to, call, timeoutMs) => this.callMember(findHost(), to, call, timeoutMs),
      probe: async (to) => {
        const result = this.probeFrom(findHost(), to)
        await this.time.wait(result === 'silent' ? PROBE_TIMEOUT_MS : CALL_LATENCY_MS)
        return result
      },
      longestLeaseMs: this.longestLeaseMs ?? LONGEST_LEASE_MS,
      reporter: this.createReporter(name)
    }))
    return { process, connection, member }
  }

  private createReporter (member: string): Reporter {
    return {
      log: (_level, message, fields) => {
        this.logs.push({ at: Math.round(this.time.nowMs), member, message, fields })
        if (message === 'earlier-runs-settled') this.history.recordSettled(this.findTerm(member))
      },
      count: () => {},
      observe: () => {}
    }
  }

  /** The last term that a member has won. */
  private findTerm (member: string): number {
    return Number(this.logs.findLast((line) => line.member === member && line.message === 'leadership-won')?.fields.term ?? 0)
  }

  private findListener (address: string): VirtualHost | undefined {
    return this.hosts.find((host) => host.address === address && host.process.state !== 'ended' && !host.refusesConnections)
  }

  private callMember (from: VirtualHost | undefined, address: string, call: MemberCall, timeoutMs: number): Promise<MemberCallResult> {
    const owner = this.time.currentProcess
    return new Promise((resolve) => {
      const respond = (result: MemberCallResult, delayMs: number): void => { this.time.schedule(delayMs, () => resolve(result), owner) }
      const listener = this.findListener(address)
      if (this.silentHosts.has(getHostName(address))) return respond(failCall('timeout'), timeoutMs)
      if (from?.cutFromMembers === true || listener?.cutFromMembers === true) return respond(failCall('timeout'), timeoutMs)
      if (listener !== undefined && from !== undefined && listener.side !== from.side) return this.linksBetweenSides === 'refusing' ? respond(failCall('unavailable'), CALL_LATENCY_MS) : respond(failCall('timeout'), timeoutMs)
      if (listener === undefined || listener.linksToMembers !== 'open' || (from !== undefined && from.linksToMembers !== 'open')) return respond(failCall('unavailable'), CALL_LATENCY_MS)
      respond(failCall('timeout'), timeoutMs)
      this.time.schedule(CALL_LATENCY_MS, () => {
        listener.member.link.handleCall(call).then((response) => respond(answerCall(response), CALL_LATENCY_MS), () => respond(failCall('rejected'), CALL_LATENCY_MS))
      }, listener.process)
    })
  }
}

function getHostName (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}
