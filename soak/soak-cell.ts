import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import type { WriteStream } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { ProcessMember } from '../faults/processes/process-member.ts'
import { isGoodWorker, listenAdvisor } from '../platform/standin/advisor-server.ts'
import { GangRegistry } from '../platform/standin/gang-registry.ts'
import type { JsonServer } from '../platform/standin/json-server.ts'
import { KvServer } from '../platform/standin/kv-server.ts'
import type { KvEndpoint } from '../platform/standin/kv-server.ts'
import { getCallerAddress, createMemberSettings, MAX_LEASE_MS, MEMBERS_PORT } from '../platform/standin/member-settings.ts'
import type { MemberOptions } from '../platform/standin/member-settings.ts'
import { StandinOperator } from '../platform/standin/operator.ts'
import { NO_DELAY } from '../platform/standin/worker-server.ts'
import type { LateOrders, WorkerDelay, WorkerEvent, WorkerServer } from '../platform/standin/worker-server.ts'
import { LEADER_KEY } from '../src/controller/records/store-keys.ts'
import type { LeaderRecord } from '../src/controller/records/store-keys.ts'
import { LeftAddress } from './left-address.ts'
import type { LeftAddressState } from './left-address.ts'
import { LoopbackProxy } from './loopback-proxy.ts'
import { RunHistory } from './run-history.ts'
import type { WorkersGone } from './soak-fault.ts'
import { SoakWorker } from './soak-worker.ts'

/** Host name of the queues. */
export const SOAK_HOST = 'soak.example'
/** API key of the only organisation. */
export const SOAK_KEY = 'key-of-soak'
/** Names of the queues to which jobs are submitted. */
export const QUEUES = ['plain', 'advised'] as const
/** Name of the queue whose tasks need a ticket. */
export const ADVISED_QUEUE = 'advised'
/** Maximum number of attempts of a task in each queue. */
export const MAX_ATTEMPTS = 2
const WORKER_CPU_MILLIS = 16_000
const FAILURE_DOMAINS = ['east', 'west'] as const
/** Number of different delays of slow workers. */
const DELAY_STEPS = 4
const RESTART_DELAY_MS = 300
/** Time between two checks that tasks that last have a run. */
const LASTING_CHECK_INTERVAL_MS = 100
/** Fourth octets of the address of all links to workers, and of that of the first member. */
const LINKS_HOST_NUMBER = 1
const FIRST_HOST_NUMBER = 2
const ADVICE = { decisionMs: 28, eachMs: 0.4, validityMs: 2_000 }
/** Ratio of workers that may run a step, in a cell that is large enough for a policy. */
const GOOD_WORKERS_RATIO = 0.7
const MIN_WORKERS_WITH_POLICY = 16
/** Longest time that a stop takes. */
const MAX_STOP_MS = 200
/** Every third worker has a slow clock. */
const SLOW_CLOCK = { interval: 3, rate: 0.98 } as const

/** Is loaded into each member process, and lets it refuse connections on a signal. */
const REFUSE_CONNECTIONS = new URL('refuse-connections.mjs', import.meta.url).href

/** Size and files of a cell. */
export type SoakCellOptions = {
  readonly members: number
  readonly workers: number
  /** Path of the bundle that member processes run. */
  readonly bundle: string
  /** Folder for settings and logs. */
  readonly folder: string
  /** Third octet of the members' loopback addresses. It differs between concurrent soak runs. */
  readonly subnet: number
}

type SoakMember = {
  readonly storeLink: LoopbackProxy
  readonly storeEndpoint: KvEndpoint
  readonly output: WriteStream
  options: MemberOptions
  process: ProcessMember
  /** Whether the member has no power. Nothing starts it until the power is back. */
  isOff: boolean
}

/**
 * Member processes and stand-ins for the platform. Proxies for each member's store link, for each worker and for the advisor
 * can simulate network faults.
 */
export class SoakCell {
  readonly members: SoakMember[] = []
  readonly workers: SoakWorker[] = []
  /** All workers by their ids, also those that have left. */
  private readonly servers = new Map<string, WorkerServer>()
  private readonly gangs = GangRegistry.create()
  private nextVersion = 1
  /** Fourth octet of the next member's address. */
  private nextHostNumber = FIRST_HOST_NUMBER
  private nextWorkerNumber = 0
  private isClosing = false
  private readonly leftAddresses: LeftAddress[] = []

  private readonly operator: StandinOperator
  private readonly lastingCheck: NodeJS.Timeout
  /** The events of all workers. */
  private readonly workerLog: WriteStream

  private constructor (readonly kv: KvServer, private readonly advisor: JsonServer, readonly advisorLink: LoopbackProxy, readonly history: RunHistory, private readonly options: SoakCellOptions) {
    this.operator = StandinOperator.create(kv)
    this.lastingCheck = setInterval(() => history.checkLastingTasks(performance.now()), LASTING_CHECK_INTERVAL_MS)
    this.workerLog = createWriteStream(join(options.folder, 'workers.log'))
  }

  /** Starts the stand-ins and the members. Members find the workers through the store. */
  static async start (options: SoakCellOptions): Promise<SoakCell> {
    mkdirSync(options.folder, { recursive: true })
    const kv = await KvServer.listen()
    const goodRatio = options.workers < MIN_WORKERS_WITH_POLICY ? 1 : GOOD_WORKERS_RATIO
    const advisor = await listenAdvisor({ advice: ADVICE, goodRatio, getIncarnation: (id) => cell.servers.get(id)?.startedAtMs })
    const history = RunHistory.create({
      capacityCpuMillis: WORKER_CPU_MILLIS,
      getDomain: (worker) => getFailureDomain(Number(worker.slice(1))),
      findWorkers: (stepName) => cell.workers.filter(({ isAvailable, server }) => isAvailable && isGoodWorker(stepName, server.id, goodRatio)).map(({ server }) => server.id),
      findIncarnation: (worker) => cell.servers.get(worker)?.incarnation
    })
    const cell: SoakCell = new SoakCell(kv, advisor, await LoopbackProxy.listen(advisor.address), history, options)
    cell.publishConfiguration()
    for (let index = 0; index < options.workers; index += 1) cell.workers.push(await cell.startWorker())
    for (let index = 0; index < options.members; index += 1) await cell.addMember(index)
    return cell
  }

  get callerAddresses (): readonly string[] {
    return this.members.map(({ options }) => getCallerAddress(options))
  }

  /** CPU capacity of all workers. */
  get capacityCpuMillis (): number {
    return this.workers.length * WORKER_CPU_MILLIS
  }

  /** Index of the member whose claim the store has recorded last; undefined if no member leads. */
  findLeader (): number | undefined {
    const value = this.kv.read(LEADER_KEY)
    return value === undefined ? undefined : this.findMember((JSON.parse(value) as LeaderRecord).member)
  }

  findMember (name: string): number | undefined {
    const index = this.members.findIndex(({ options }) => options.name === name)
    return index === -1 ? undefined : index
  }

  /** Publishes the next version of the configuration. */
  publishConfiguration (): void {
    const queues = [{ name: 'plain', priority: 0 }, { name: ADVISED_QUEUE, priority: 2, advice: ADVICE }, { name: `extra-${this.nextVersion}`, priority: 0 }]
    this.operator.configure({ version: this.nextVersion, host: SOAK_HOST, key: SOAK_KEY, weight: 100, maxAttempts: MAX_ATTEMPTS, queues })
    this.nextVersion += 1
  }

  /** Evacuates a failure domain, or puts it back into service. */
  setDomainEvacuated (domain: string, evacuated: boolean): void {
    this.operator.setDomainEvacuated(domain, evacuated)
    this.history.recordEvacuation(domain, evacuated ? performance.now() : undefined)
  }

  /** Lets a worker drain and leave for good. A new worker joins in its place, with another id. */
  async drainWorker (index: number, ms: number): Promise<void> {
    const leaving = this.workers[index]!
    const joining = await this.startWorker()
    if (this.isClosing) return joining.close()
    this.workers[index] = joining
    await leaving.drain(ms)
  }

  /** Stops a member with a signal and starts it again after it has exited. */
  async restartMember (index: number, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const member = this.members[index]!
    member.process.signal(signal)
    await member.process.waitForExit()
    await wait(RESTART_DELAY_MS)
    this.startMember(member)
  }

  /** Stops a member with a signal and starts it again at another address, as on another host. */
  async replaceMember (index: number, signal: 'SIGKILL' | 'SIGTERM', addressBefore: 'refuses' | LeftAddressState = 'refuses'): Promise<void> {
    const member = this.members[index]!
    const { process, options } = member
    member.options = { ...options, host: this.createHost() }
    await Promise.all([this.restartMember(index, signal), addressBefore !== 'refuses' && this.occupyAddress(process, options.host, addressBefore)])
  }

  /** Lets some workers end, and start again after a while. Both are faults; the time between them is not. */
  async sendWorkersAway ({ workers, state, forMs }: WorkersGone): Promise<void> {
    const leaving = workers.map((index) => this.workers[index]!)
    for (const worker of leaving) worker.goAway(state)
    setTimeout(() => this.recallWorkers(leaving), forMs).unref()
  }

  /** Kills members and starts them again at the same time after the given time. */
  async cutPower (indexes: readonly number[], ms: number): Promise<void> {
    const members = indexes.map((index) => this.members[index]!).filter(({ isOff }) => !isOff)
    for (const member of members) {
      member.isOff = true
      member.process.signal('SIGKILL')
    }
    await Promise.all(members.map(({ process }) => process.waitForExit()))
    await wait(ms)
    for (const member of members) {
      member.isOff = false
      this.startMember(member)
    }
  }

  /** Counts what a fault brings about as a fault until it is over. */
  async countAsFault (effect: Promise<void>): Promise<void> {
    this.history.recordFault(performance.now(), 'begins')
    try {
      await effect
    } finally {
      this.history.recordFault(performance.now(), 'ends')
    }
  }

  async pauseMember (index: number, ms: number): Promise<void> {
    const { process } = this.members[index]!
    process.signal('SIGSTOP')
    await wait(ms)
    process.signal('SIGCONT')
  }

  /** Lets a member refuse and get no more connections and lose its link to the store, and restarts it after a while. */
  async isolateMember (index: number, ms: number): Promise<void> {
    const { process, storeLink } = this.members[index]!
    process.signal('SIGUSR2')
    storeLink.setState('silent')
    await wait(ms)
    storeLink.setState('open')
    await this.restartMember(index, 'SIGKILL')
  }

  /** Delays the calls to some workers by the given times, to others by parts of these, and to some not at all. */
  delayWorkers ({ calls, beforeMs, afterMs }: WorkerDelay): void {
    for (const [index, { server }] of this.workers.entries()) {
      const ratio = (index % DELAY_STEPS) / (DELAY_STEPS - 1)
      server.delay = { calls, beforeMs: beforeMs * ratio, afterMs: afterMs * ratio }
    }
  }

  /** Lets all workers carry out a part of their calls late, or none of them. */
  setLateOrders (lateOrders: LateOrders | undefined): void {
    for (const { server } of this.workers) server.lateOrders = lateOrders
  }

  /** Suspends members for a part of each interval, as an overloaded host does. */
  async stutterMembers (indexes: readonly number[], runMs: number, pauseMs: number, ms: number): Promise<void> {
    const endAt = performance.now() + ms
    while (performance.now() < endAt) {
      await wait(runMs)
      await Promise.all(indexes.map((index) => this.pauseMember(index, pauseMs)))
    }
  }

  /** Ends all faults of the store, the links and the failure domains. */
  repairAll (): void {
    this.kv.mode = 'up'
    this.kv.disturbance = undefined
    this.delayWorkers(NO_DELAY)
    this.setLateOrders(undefined)
    this.advisorLink.setState('open')
    for (const { storeLink, storeEndpoint } of this.members) {
      storeLink.setState('open')
      storeEndpoint.refusal = undefined
    }
    this.recallWorkers(this.workers)
    for (const worker of this.workers) worker.setLinkState('open')
    for (const domain of FAILURE_DOMAINS) this.setDomainEvacuated(domain, false)
  }

  async close (): Promise<void> {
    this.isClosing = true
    clearInterval(this.lastingCheck)
    for (const { process } of this.members) process.signal('SIGKILL')
    await Promise.all(this.members.map(({ process }) => process.waitForExit()))
    for (const { storeLink, output } of this.members) {
      storeLink.close()
      output.end()
    }
    for (const worker of this.workers) worker.close()
    for (const address of this.leftAddresses) address.close()
    this.workerLog.end()
    this.kv.close()
    this.advisorLink.close()
    this.advisor.close()
  }

  private recallWorkers (workers: readonly SoakWorker[]): void {
    if (this.isClosing) return
    const back = workers.filter((worker) => worker.comeBack())
    if (back.length > 0) this.countAsFault(Promise.resolve()).catch(() => {})
  }

  /** Occupies the address of a process that ends. */
  private async occupyAddress (process: ProcessMember, host: string, state: LeftAddressState): Promise<void> {
    await process.waitForExit()
    if (!this.isClosing) this.leftAddresses.push(await LeftAddress.listen(host, MEMBERS_PORT, state))
  }

  private async startWorker (): Promise<SoakWorker> {
    const number = this.nextWorkerNumber
    this.nextWorkerNumber += 1
    const id = `w${number}`
    const worker = await SoakWorker.start(this.kv, getFailureDomain(number), {
      id,
      needsTickets: true,
      maxLeaseMs: MAX_LEASE_MS,
      maxStopMs: MAX_STOP_MS,
      clockRate: number % SLOW_CLOCK.interval === 0 ? SLOW_CLOCK.rate : 1,
      gangs: this.gangs,
      seed: number,
      observe: (event) => this.recordWorkerEvent(id, event)
    }, createAddress(this.options.subnet, LINKS_HOST_NUMBER))
    this.servers.set(id, worker.server)
    return worker
  }

  /** Passes an event to the history, after runs of other workers that are due have ended, also if their timers are late. */
  private recordWorkerEvent (id: string, event: WorkerEvent): void {
    if (this.isClosing) return
    if (event.type === 'started') for (const server of this.servers.values()) if (server.id !== id) server.settle()
    const { startedAtMs, leaseEndsAtMs } = this.servers.get(id)!.incarnation
    this.workerLog.write(`${JSON.stringify({ time: new Date().toISOString(), worker: id, incarnation: startedAtMs, leaseMs: Math.round(leaseEndsAtMs - performance.now()), ...event })}\n`)
    this.history.recordWorkerEvent(id, event, performance.now())
  }

  private async addMember (index: number): Promise<void> {
    const storeEndpoint = await this.kv.openEndpoint()
    const storeLink = await LoopbackProxy.listen(storeEndpoint.address)
    const options: MemberOptions = {
      name: `member-${index}`,
      host: this.createHost(),
      failureDomain: getFailureDomain(index),
      storeAddress: storeLink.address,
      advisorAddress: this.advisorLink.address,
      cores: 1
    }
    const output = createWriteStream(join(this.options.folder, `${options.name}.log`))
    this.members.push({ options, storeLink, storeEndpoint, output, process: this.startProcess(options, output), isOff: false })
  }

  private createHost (): string {
    const number = this.nextHostNumber
    this.nextHostNumber += 1
    return createAddress(this.options.subnet, number)
  }

  /** Starts a member, unless it runs already or has no power. */
  private startMember (member: SoakMember): void {
    if (!this.isClosing && !member.isOff && !member.process.isRunning) member.process = this.startProcess(member.options, member.output)
  }

  private startProcess (options: MemberOptions, output: WriteStream): ProcessMember {
    const file = join(this.options.folder, `${options.name}.json`)
    writeFileSync(file, JSON.stringify(createMemberSettings(options)))
    return ProcessMember.spawn({
      id: options.name,
      args: ['--import', REFUSE_CONNECTIONS, this.options.bundle],
      variables: { DAMASKFIELD_SETTINGS: file },
      callerAddress: getCallerAddress(options),
      onOutput: (chunk) => output.write(chunk)
    })
  }
}

function createAddress (subnet: number, hostNumber: number): string {
  return `127.0.${subnet}.${hostNumber}`
}

function getFailureDomain (index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!
}
