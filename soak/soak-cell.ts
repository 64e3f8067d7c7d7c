import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import type { WriteStream } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { ProcessMember } from '../faults/processes/process-member.ts'
import { JsonServer } from '../platform/standin/json-server.ts'
import { KvServer } from '../platform/standin/kv-server.ts'
import { getCallerAddress, createMemberSettings } from '../platform/standin/member-settings.ts'
import type { MemberOptions } from '../platform/standin/member-settings.ts'
import { StandinOperator } from '../platform/standin/operator.ts'
import { WorkerServer } from '../platform/standin/worker-server.ts'
import { LoopbackProxy } from './loopback-proxy.ts'
import { RunHistory } from './run-history.ts'

export const SOAK_HOST = 'soak.example'
export const SOAK_KEY = 'key-of-soak'
export const QUEUES = ['plain', 'advised'] as const
export const MOST_ATTEMPTS = 2
const WORKER_CPU = 16_000
const DOMAINS = ['east', 'west'] as const
const RESTART_MS = 300
const ADVICE = { decisionMs: 5, eachMs: 0, validityMs: 2_000 }

export type SoakCellOptions = {
  readonly members: number
  readonly workers: number
  /** Bundle of the member. */
  readonly bundle: string
  /** Folder for settings and logs. */
  readonly folder: string
  /** Third part of the members' loopback addresses, so that two soaks do not meet. */
  readonly subnet: number
}

type Member = { readonly place: MemberOptions, readonly store: LoopbackProxy, readonly output: WriteStream, process: ProcessMember }
type Worker = { readonly server: WorkerServer, readonly link: LoopbackProxy, readonly domain: string }

/** Member processes and stand-ins of the platform, with a link that can be disturbed before the store and each worker. */
export class SoakCell {
  readonly members: Member[] = []
  readonly workers: Worker[] = []
  private version = 1
  private closing = false

  private readonly operator: StandinOperator

  private constructor (readonly kv: KvServer, private readonly advisor: JsonServer, readonly history: RunHistory, private readonly options: SoakCellOptions) {
    this.operator = StandinOperator.create(kv)
  }

  /** Starts everything; members find the workers through the store. */
  static async start (options: SoakCellOptions): Promise<SoakCell> {
    mkdirSync(options.folder, { recursive: true })
    const kv = await KvServer.listen()
    const advisor = await JsonServer.listen(async ({ body }) => (
      { status: 200, body: { good: (body as { workers: readonly string[] }).workers.map((id) => [id, `ticket-${id}`]), validityMs: ADVICE.validityMs } }
    ))
    const history = RunHistory.create(WORKER_CPU, (worker) => domainOf(Number(worker.slice(1))))
    const cell = new SoakCell(kv, advisor, history, options)
    cell.configure()
    for (let index = 0; index < options.workers; index += 1) await cell.addWorker(index)
    for (let index = 0; index < options.members; index += 1) await cell.addMember(index)
    return cell
  }

  get callerAddresses (): readonly string[] {
    return this.members.map(({ place }) => getCallerAddress(place))
  }

  /** Publishes the next version of the configuration. */
  configure (): void {
    const queues = [{ name: 'plain', priority: 0 }, { name: 'advised', priority: 2, advice: ADVICE }, { name: `extra-${this.version}`, priority: 0 }]
    this.operator.configure({ version: this.version, host: SOAK_HOST, key: SOAK_KEY, weight: 100, maxAttempts: MOST_ATTEMPTS, queues })
    this.version += 1
  }

  /** Takes a failure domain out, or back. */
  setDomain (domain: string, out: boolean): void {
    this.operator.setDomainEvacuated(domain, out)
    this.history.noteDomain(domain, out ? performance.now() : undefined)
  }

  /** A worker loses everything and starts anew under its id. */
  crashWorker (index: number): void {
    this.workers[index]!.server.crash()
    this.publish(index)
  }

  /** Ends a member with a signal, and starts it again when it has ended. */
  async restart (index: number, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const member = this.members[index]!
    member.process.signal(signal)
    await member.process.end()
    await wait(RESTART_MS)
    if (!this.closing && !member.process.alive) member.process = this.run(member.place, member.output)
  }

  async pause (index: number, ms: number): Promise<void> {
    const { process } = this.members[index]!
    process.signal('SIGSTOP')
    await wait(ms)
    process.signal('SIGCONT')
  }

  /** Heals all links and the store. */
  heal (): void {
    this.kv.mode = 'up'
    for (const { store } of this.members) store.set('open')
    for (const { link } of this.workers) link.set('open')
    for (const domain of DOMAINS) this.setDomain(domain, false)
  }

  async close (): Promise<void> {
    this.closing = true
    for (const { process } of this.members) process.signal('SIGKILL')
    await Promise.all(this.members.map(({ process }) => process.end()))
    for (const { store, output } of this.members) {
      store.close()
      output.end()
    }
    for (const { server, link } of this.workers) {
      link.close()
      server.close()
    }
    this.kv.close()
    this.advisor.close()
  }

  private async addWorker (index: number): Promise<void> {
    const id = `w${index}`
    const server = await WorkerServer.listen({ id, needsTickets: false, observe: (event) => this.history.noteWorker(id, event, performance.now()) })
    this.workers.push({ server, link: await LoopbackProxy.listen(server.address), domain: domainOf(index) })
    this.publish(index)
  }

  private publish (index: number): void {
    const { server, link, domain } = this.workers[index]!
    this.operator.publishWorker(server, domain, link.address)
  }

  private async addMember (index: number): Promise<void> {
    const store = await LoopbackProxy.listen(this.kv.address)
    const place: MemberOptions = {
      name: `member-${index}`,
      host: `127.0.${this.options.subnet}.${index + 2}`,
      failureDomain: domainOf(index),
      storeAddress: store.address,
      advisorAddress: this.advisor.address,
      cores: 1
    }
    const output = createWriteStream(join(this.options.folder, `${place.name}.log`))
    this.members.push({ place, store, output, process: this.run(place, output) })
  }

  private run (place: MemberOptions, output: WriteStream): ProcessMember {
    const file = join(this.options.folder, `${place.name}.json`)
    writeFileSync(file, JSON.stringify(createMemberSettings(place)))
    return ProcessMember.run({
      id: place.name,
      args: [this.options.bundle],
      variables: { DAMASKFIELD_SETTINGS: file },
      callerAddress: getCallerAddress(place),
      onOutput: (chunk) => output.write(chunk)
    })
  }
}

function domainOf (index: number): string {
  return DOMAINS[index % DOMAINS.length]!
}
