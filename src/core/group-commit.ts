import type { Result } from 'neverthrow'
import type { Epoch, GroupNumber, MemberId } from '../model/ids.ts'
import type { CommitWrite } from '../group/effect.ts'
import type { CommitOutcome } from '../group/event.ts'
import type { Compare, Put, StoreResponse, StoreCall, StoreFailure } from '../ports/store.ts'
import { Random } from '../util/random.ts'

/** Bounds of one transaction, well below the store's limit of one megabyte. */
const BATCH_WRITES = 256
const BATCH_BYTES = 800_000
/** Writes that were never sent are given up when the store has not answered for this long. */
const GIVE_UP_MS = 3_000
const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 2_000

export type Commit = { readonly group: GroupNumber, readonly epoch: Epoch, readonly commitId: string, readonly writes: readonly CommitWrite[] }

export type SettledCommit = { readonly commit: Commit, readonly outcome: CommitOutcome }

/** What the caller has to do after a step. */
export type GroupCommitStep = { readonly call: StoreCall | undefined, readonly settled: readonly SettledCommit[] }

export type GroupCommitOptions = {
  readonly memberId: MemberId
  readonly incarnation: string
  readonly seed: number
  /** Longest time that writes of all groups are gathered before they are sent in one transaction. */
  readonly gatherMs: number
  /** Key and value of the store's record of a group's owner, which guards every transaction. */
  readonly ownership: (group: GroupNumber, epoch: Epoch) => { readonly key: string, readonly value: string }
}

type Phase = 'unknown' | 'reading' | 'idle' | 'writing' | 'read-back-due' | 'reading-back'

/**
 * Writes of all groups of one member, gathered into one transaction at a time.
 *
 * Each transaction compares and replaces the member's marker `commits/<member>`. After a lost answer the marker tells
 * whether the transaction took effect, and a transaction that arrives late fails because its marker is outdated.
 */
export class GroupCommit {
  private phase: Phase = 'unknown'
  private queue: Commit[] = []
  private batch: readonly Commit[] = []
  private marker: string | undefined
  private nextMarker = ''
  private batchNumber = 0
  private flushAt = 0
  private retryAt = 0
  private retries = 0
  private failingSince: number | undefined
  /** Commits that were in a transaction without an answer; such a transaction may still arrive and take effect. */
  private readonly ambiguous = new Set<string>()
  private readonly random: Random

  private constructor (private readonly options: GroupCommitOptions) {
    this.random = Random.create(options.seed)
  }

  /**
   * Starts without writes; the first step reads the marker.
   *
   * @example
   * GroupCommit.create({ memberId: 'entry-1', incarnation: 'a', seed: 1, ownership })
   */
  static create (options: GroupCommitOptions): GroupCommit {
    return new GroupCommit(options)
  }

  /** Adds writes of one group to the next transaction. */
  add (now: number, commit: Commit): void {
    if (this.queue.length === 0) this.flushAt = now + this.options.gatherMs
    this.queue.push(commit)
  }

  /** Sends what is due; called at each tick and after each answer. */
  step (now: number): GroupCommitStep {
    const settled = this.giveUpUnsent(now)
    if (now < this.retryAt) return { call: undefined, settled }
    switch (this.phase) {
      case 'unknown':
        if (this.queue.length === 0 && this.failingSince === undefined) return { call: undefined, settled }
        this.phase = 'reading'
        return { call: this.readMarker(), settled }
      case 'read-back-due':
        this.phase = 'reading-back'
        return { call: this.readMarker(), settled }
      case 'idle':
        if (this.queue.length === 0 || now < this.flushAt) return { call: undefined, settled }
        this.phase = 'writing'
        this.batch = this.takeBatch()
        return { call: this.transaction(), settled }
      case 'reading':
      case 'writing':
      case 'reading-back':
        return { call: undefined, settled }
    }
  }

  /** Applies the answer to the last call. */
  answered (now: number, result: Result<StoreResponse, StoreFailure>): GroupCommitStep {
    const settled = result.isOk() ? this.succeeded(result.value) : this.failed(now, result.error)
    if (result.isOk()) {
      this.retries = 0
      this.failingSince = undefined
    }
    const next = this.step(now)
    return { call: next.call, settled: [...settled, ...next.settled] }
  }

  private succeeded (answer: StoreResponse): readonly SettledCommit[] {
    if (answer.type === 'read') return this.markerRead(answer.entries.find((entry) => entry.key === this.markerKey)?.value)
    if (answer.type !== 'transact') return []
    if (answer.committed) return this.settleBatch()
    const current = new Map(answer.current.map((entry) => [entry.key, entry.value]))
    if (current.get(this.markerKey) !== this.marker) {
      this.phase = 'read-back-due'
      return []
    }
    return this.dropFenced(current)
  }

  private markerRead (value: string | undefined): readonly SettledCommit[] {
    const applied = this.phase === 'reading-back' && value === this.nextMarker
    if (applied) return this.settleBatch()
    this.marker = value
    this.queue = [...this.batch, ...this.queue]
    this.batch = []
    this.phase = 'idle'
    return []
  }

  private settleBatch (): readonly SettledCommit[] {
    const settled = this.batch.map((commit): SettledCommit => ({ commit, outcome: 'applied' }))
    this.marker = this.nextMarker
    for (const commit of this.batch) this.ambiguous.delete(commit.commitId)
    this.batch = []
    this.phase = 'idle'
    return settled
  }

  private dropFenced (current: ReadonlyMap<string, string>): readonly SettledCommit[] {
    const isFenced = (commit: Commit): boolean => {
      const record = this.options.ownership(commit.group, commit.epoch)
      return current.get(record.key) !== record.value
    }
    const fenced = this.batch.filter(isFenced)
    this.queue = [...this.batch.filter((commit) => !isFenced(commit)), ...this.queue]
    this.batch = []
    this.phase = 'idle'
    return fenced.map((commit) => ({ commit, outcome: 'fenced' }))
  }

  private failed (now: number, failure: StoreFailure): readonly SettledCommit[] {
    this.failingSince ??= now
    this.retryAt = now + this.retryDelay()
    if (this.phase === 'reading') this.phase = 'unknown'
    else if (this.phase === 'reading-back') this.phase = 'read-back-due'
    else if (failure.verdict === 'may-have-applied') {
      for (const commit of this.batch) this.ambiguous.add(commit.commitId)
      this.phase = 'read-back-due'
    } else {
      this.queue = [...this.batch, ...this.queue]
      this.batch = []
      this.phase = 'unknown'
    }
    return []
  }

  private giveUpUnsent (now: number): readonly SettledCommit[] {
    if (this.failingSince === undefined || now - this.failingSince < GIVE_UP_MS) return []
    const unsent = this.queue.filter((commit) => !this.ambiguous.has(commit.commitId))
    this.queue = this.queue.filter((commit) => this.ambiguous.has(commit.commitId))
    return unsent.map((commit) => ({ commit, outcome: 'failed' }))
  }

  private takeBatch (): readonly Commit[] {
    let writes = 0
    let bytes = 0
    let count = 0
    for (const commit of this.queue) {
      writes += commit.writes.length
      bytes += sizeOf(commit)
      if (count > 0 && (writes > BATCH_WRITES || bytes > BATCH_BYTES)) break
      count += 1
    }
    return this.queue.splice(0, count)
  }

  private transaction (): StoreCall {
    this.batchNumber += 1
    this.nextMarker = `${this.options.incarnation}/${this.batchNumber}`
    const guards = new Map(this.batch.map((commit) => {
      const { key, value } = this.options.ownership(commit.group, commit.epoch)
      return [key, { type: 'value', key, value } satisfies Compare]
    }))
    const writes = new Map(this.batch.flatMap((commit) => commit.writes).map((write) => [write.key, write]))
    const puts: Put[] = [{ key: this.markerKey, value: this.nextMarker }]
    const deletes: string[] = []
    for (const write of writes.values()) {
      if (write.type === 'put') puts.push({ key: write.key, value: write.value })
      else deletes.push(write.key)
    }
    return { type: 'transact', compares: [this.markerCompare(), ...guards.values()], puts, deletes }
  }

  private markerCompare (): Compare {
    const key = this.markerKey
    return this.marker === undefined ? { type: 'absent', key } : { type: 'value', key, value: this.marker }
  }

  private readMarker (): StoreCall {
    return { type: 'read', prefix: this.markerKey }
  }

  private get markerKey (): string {
    return `commits/${this.options.memberId}`
  }

  private retryDelay (): number {
    const limit = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** this.retries)
    this.retries += 1
    return limit / 2 + this.random.next() * limit / 2
  }
}

function sizeOf (commit: Commit): number {
  return commit.writes.reduce((sum, write) => sum + write.key.length + (write.type === 'put' ? write.value.length : 0), 0)
}
