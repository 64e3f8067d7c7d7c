import { setTimeout as wait } from 'node:timers/promises'
import type { KvServer } from '../platform/standin/kv-server.ts'
import { WorkerServer } from '../platform/standin/worker-server.ts'
import type { WorkerServerOptions } from '../platform/standin/worker-server.ts'
import { LoopbackProxy } from './loopback-proxy.ts'
import type { LinkState } from './proxied-stream.ts'

/** How a link fails for a while: bytes are held until it heals, or lost. */
export type CutState = 'held' | 'silent'

/** How a worker that has gone away is missed: nothing answers, or its host refuses connections. */
export type AwayState = 'dark' | 'refused'

/** Times of a restart that no connection shows: until the next incarnation starts, and from then until its entry is published. */
export type UnseenRestart = { readonly downMs: number, readonly heartbeatAfterMs: number }

/** Loopback address of the links; another one than that of other listeners, which would take the port of a link that does not listen. */
const DEFAULT_LINK_HOST = '127.0.0.2'
/** Three heartbeat intervals of silence, after which the entry of a worker is removed. */
const REGISTRATION_TIMEOUT_MS = 4_500
/** Half of the period in which a flapping worker is down and up by turns. */
const FLAP_MS = 500

/** A stand-in worker, its entry in the store and the link on which the members reach it. */
export class SoakWorker {
  private state: 'ready' | 'draining' | 'left' = 'ready'
  private isPublished = false
  private isAway = false
  private expiry: NodeJS.Timeout | undefined
  private heartbeat: NodeJS.Timeout | undefined
  /** Number of faults that cut the worker off from the store. */
  private cuts = 0

  private constructor (readonly server: WorkerServer, private readonly link: LoopbackProxy, private readonly kv: KvServer, readonly domain: string) {}

  /** Starts a worker and registers it. */
  static async start (kv: KvServer, domain: string, options: WorkerServerOptions, linkHost = DEFAULT_LINK_HOST): Promise<SoakWorker> {
    const server = await WorkerServer.listen(options)
    const worker = new SoakWorker(server, await LoopbackProxy.listen(server.address, linkHost), kv, domain)
    worker.register()
    return worker
  }

  /** Whether the worker is published and takes tasks. */
  get isAvailable (): boolean {
    return this.state === 'ready' && this.isPublished && !this.isAway
  }

  /** Changes the state of its link, unless the worker is away. */
  setLinkState (state: LinkState): void {
    if (!this.isAway) this.link.setState(state)
  }

  /** Ends with all its runs. Its entry expires, and its address is silent or refuses connections until it comes back. */
  goAway (state: AwayState): void {
    if (this.isAway || this.state === 'left') return
    clearTimeout(this.heartbeat)
    this.link.setState(state)
    this.isAway = true
    this.server.isOff = true
    this.server.crash()
    this.expiry = setTimeout(() => this.unregister(), REGISTRATION_TIMEOUT_MS)
  }

  /** Starts again under its id. Returns whether it was away. */
  comeBack (): boolean {
    if (!this.isAway) return false
    clearTimeout(this.expiry)
    this.startAgain()
    this.register()
    return true
  }

  /**
   * Crashes without a sign and starts again under its id and at its address. Connections that were open go on until something is
   * sent on them. Calls reach the next incarnation at once; the entry of the one before stays until the next heartbeat, or expires.
   */
  async restartUnseen ({ downMs, heartbeatAfterMs }: UnseenRestart): Promise<void> {
    if (this.isAway || this.state === 'left') return
    this.link.abandonConnections()
    this.goAway('dark')
    await wait(downMs)
    if (!this.isAway) return
    this.startAgain()
    this.heartbeat = setTimeout(() => { if (this.cuts === 0) this.register() }, heartbeatAfterMs).unref()
  }

  /** Loses all state and starts again under the same id. */
  crash (): void {
    this.restart()
    this.register()
  }

  /** Cuts the worker off from all members and from the store. With `reborn` it crashes meanwhile and starts again under its id. */
  async cutOff (state: CutState, reborn: boolean, ms: number): Promise<void> {
    this.setLinkState(state)
    this.cuts += 1
    const expiry = setTimeout(() => this.unregister(), REGISTRATION_TIMEOUT_MS)
    await wait(ms / 2)
    if (reborn) this.restart()
    await wait(ms / 2)
    clearTimeout(expiry)
    this.cuts -= 1
    this.setLinkState('open')
    this.register()
  }

  /** Is unreachable and reachable by turns; with `reborn` it crashes each time. */
  async flap (reborn: boolean, ms: number): Promise<void> {
    for (const endAt = performance.now() + ms; performance.now() < endAt;) {
      this.setLinkState('reset')
      if (reborn) this.crash()
      await wait(FLAP_MS)
      this.setLinkState('open')
      await wait(FLAP_MS)
    }
  }

  /** Drains for the given time and leaves for good. */
  async drain (ms: number): Promise<void> {
    this.state = 'draining'
    this.register()
    await wait(ms)
    this.state = 'left'
    this.restart()
    this.close()
    this.unregister()
  }

  close (): void {
    clearTimeout(this.expiry)
    clearTimeout(this.heartbeat)
    this.link.close()
    this.server.close()
  }

  private get key (): string {
    return `servers/${this.server.id}`
  }

  private restart (): void {
    this.server.crash()
    this.link.closeTargetSides()
  }

  private startAgain (): void {
    this.isAway = false
    if (this.state === 'left') return
    this.server.crash()
    this.server.isOff = false
    this.link.setState('open')
  }

  private register (): void {
    if (this.state === 'left' || this.isAway) return
    clearTimeout(this.expiry)
    clearTimeout(this.heartbeat)
    this.kv.put(this.key, this.server.createEntry(this.state, this.link.address, this.domain))
    this.isPublished = true
  }

  private unregister (): void {
    this.kv.remove(this.key)
    this.isPublished = false
  }
}
