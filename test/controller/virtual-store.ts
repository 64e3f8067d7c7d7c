import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { COMMIT_KEY, PROGRESS_PREFIX, TARGETS_KEY, progressKey } from '../../src/controller/records/store-keys.ts'
import type { CommitRecord } from '../../src/controller/records/store-keys.ts'
import type { ObservedStore, StoreCall, StoreCallLimits, StoreFailure, StoreResponse } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import type { Random } from '../../src/util/random.ts'
import type { VirtualProcess, VirtualTime } from './virtual-time.ts'

const CALL_TIMEOUT_MS = 1_000
const WATCH_MARGIN_MS = 700
const MAX_LATENCY_MS = 5
/** A write that is carried out late is so after this time and up to `LATE_SPREAD_MS` more, if its condition still holds. */
const LATE_MS = 1_000
const LATE_SPREAD_MS = 5_000

type StoreResult = Result<StoreResponse, StoreFailure>

const NO_RESPONSE: StoreResult = err({ reason: 'timeout', verdict: 'may-have-applied' })

type Respond = (result: StoreResult, delayMs: number) => void
type WatchCall = Extract<StoreCall, { type: 'watch' }>
type WaitingWatch = { readonly call: WatchCall, readonly startedAt: number, readonly connection: VirtualConnection, readonly respond: Respond }

/** How the store treats the calls of one member: serves them, rejects them, or gives no response. */
export type Service = 'served' | 'rejected' | 'silent'

/** The connection of one member to the store. */
export class VirtualConnection implements ObservedStore {
  service: Service = 'served'
  /** Whether the last call that has ended was served. */
  isResponsive = true

  private constructor (private readonly store: VirtualStore) {}

  static create (store: VirtualStore): VirtualConnection {
    return new VirtualConnection(store)
  }

  async call (call: StoreCall, limits?: StoreCallLimits): Promise<StoreResult> {
    const result = await this.store.handle(this, call, limits)
    this.isResponsive = result.isOk()
    return result
  }
}

/** A store in virtual time that serves members differently, loses responses and carries out writes late. */
export class VirtualStore {
  readonly inner = InMemoryStore.create()
  /** Service of the whole store. */
  service: Service = 'served'
  /** Ratio of the writes that are carried out late and not answered. */
  lateRatio = 0
  /** Ratio of the calls that are carried out and not answered. */
  lostRatio = 0
  /** Maximum size of a value; a transaction with a larger one is rejected without a reason. */
  valueLimitBytes = Infinity
  readonly counts = { late: 0, lateApplied: 0, lost: 0, rejected: 0, silent: 0 }
  private readonly waitingWatches = new Set<WaitingWatch>()
  private latestTerm = 0
  private wakeAt = Infinity

  private constructor (private readonly time: VirtualTime, private readonly random: Random, private readonly onViolation: (text: string) => void) {}

  static create (time: VirtualTime, random: Random, onViolation: (text: string) => void): VirtualStore {
    return new VirtualStore(time, random, onViolation)
  }

  connect (): VirtualConnection {
    return VirtualConnection.create(this)
  }

  /** Writes as the platform itself. */
  put (key: string, value: string): void {
    this.apply({ type: 'transact', compares: [], puts: [{ key, value }], deletes: [] })
  }

  remove (key: string): void {
    this.apply({ type: 'transact', compares: [], puts: [], deletes: [key] })
  }

  /** Phase of a job as its leader has stored it. */
  readPhase (job: string): string | undefined {
    const response = this.inner.call(this.time.nowMs, { type: 'read', prefix: progressKey(job) })
    const entry = response !== 'waiting' && response.type === 'read' ? response.entries.find(({ key }) => key === progressKey(job)) : undefined
    return entry === undefined ? undefined : (JSON.parse(entry.value) as JobProgress).phase
  }

  /** Handles a call; the response belongs to the process that calls. */
  handle (connection: VirtualConnection, call: StoreCall, limits?: StoreCallLimits): Promise<StoreResult> {
    const owner: VirtualProcess | undefined = this.time.currentProcess
    return new Promise((resolve) => {
      const respond: Respond = (result, delayMs) => { this.time.schedule(delayMs, () => resolve(result), owner) }
      if (limits !== undefined) respond(NO_RESPONSE, limits.timeoutMs)
      this.route(connection, call, respond)
    })
  }

  private route (connection: VirtualConnection, call: StoreCall, respond: Respond): void {
    const service = this.service === 'served' ? connection.service : this.service
    const timeoutMs = call.type === 'watch' ? call.waitMs + WATCH_MARGIN_MS : CALL_TIMEOUT_MS
    if (service === 'rejected' || this.exceedsLimit(call)) {
      this.counts.rejected += 1
      return respond(err({ reason: 'unavailable', verdict: 'not-applied' }), this.drawLatencyMs())
    }
    if (service === 'silent') {
      this.counts.silent += 1
      return respond(NO_RESPONSE, timeoutMs)
    }
    const isWrite = call.type !== 'read' && call.type !== 'watch'
    if (isWrite && this.random.next() < this.lateRatio) {
      this.counts.late += 1
      this.time.schedule(LATE_MS + this.random.nextInt(LATE_SPREAD_MS), () => this.applyLate(call))
      return respond(NO_RESPONSE, timeoutMs)
    }
    if (call.type !== 'watch' && this.random.next() < this.lostRatio) {
      this.counts.lost += 1
      this.time.schedule(this.drawLatencyMs(), () => this.apply(call))
      return respond(NO_RESPONSE, timeoutMs)
    }
    this.time.schedule(this.drawLatencyMs(), () => this.answer(connection, call, respond))
  }

  private exceedsLimit (call: StoreCall): boolean {
    return call.type === 'transact' && call.puts.some(({ value }) => Buffer.byteLength(value) > this.valueLimitBytes)
  }

  private answer (connection: VirtualConnection, call: StoreCall, respond: Respond): void {
    const response = this.apply(call)
    if (response !== 'waiting') return respond(ok(response), this.drawLatencyMs())
    if (call.type !== 'watch') return
    const watch = { call, startedAt: this.time.nowMs, connection, respond }
    this.waitingWatches.add(watch)
    this.time.schedule(call.waitMs, () => this.resume(watch))
  }

  private applyLate (call: StoreCall): void {
    const response = this.apply(call)
    if (response !== 'waiting' && response.type === 'transact' && response.committed) this.counts.lateApplied += 1
  }

  private apply (call: StoreCall): StoreResponse | 'waiting' {
    const response = this.inner.call(this.time.nowMs, call)
    if (call.type === 'transact' && response !== 'waiting' && response.type === 'transact' && response.committed) this.check(call)
    if (call.type !== 'read' && call.type !== 'watch') this.resumeAll()
    this.scheduleExpiry()
    return response
  }

  /** The records of a leader must never be older than what a later one has acted on. */
  private check ({ puts }: Extract<StoreCall, { type: 'transact' }>): void {
    const commit = puts.find(({ key }) => key === COMMIT_KEY)
    if (commit === undefined) {
      if (puts.some(({ key }) => key === TARGETS_KEY || key.startsWith(PROGRESS_PREFIX))) this.onViolation('a leader\'s record was written outside of its term')
      return
    }
    const { term } = JSON.parse(commit.value) as CommitRecord
    if (term < this.latestTerm) this.onViolation(`a record of term ${term} was written in term ${this.latestTerm}`)
    this.latestTerm = Math.max(this.latestTerm, term)
  }

  private resumeAll (): void {
    for (const watch of this.waitingWatches) this.resume(watch)
  }

  private resume (watch: WaitingWatch): void {
    if (!this.waitingWatches.has(watch)) return
    const response = this.inner.resume(this.time.nowMs, watch.call, watch.startedAt)
    if (response === 'waiting') return
    this.waitingWatches.delete(watch)
    if (this.service === 'served' && watch.connection.service === 'served') return watch.respond(ok(response), this.drawLatencyMs())
    watch.respond(NO_RESPONSE, watch.startedAt + watch.call.waitMs + WATCH_MARGIN_MS - this.time.nowMs)
  }

  /** Leases expire without a call; their watches are answered then. */
  private scheduleExpiry (): void {
    const at = this.inner.nextEventAt() ?? Infinity
    if (at >= this.wakeAt) return
    this.wakeAt = at
    this.time.schedule(at - this.time.nowMs, () => {
      this.wakeAt = Infinity
      this.inner.advance(this.time.nowMs)
      this.resumeAll()
      this.scheduleExpiry()
    })
  }

  private drawLatencyMs (): number {
    return 1 + this.random.next() * MAX_LATENCY_MS
  }
}
