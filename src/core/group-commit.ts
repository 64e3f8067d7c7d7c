import type { Result } from 'neverthrow'
import type { Epoch, GroupNumber, MemberId } from '../model/ids.ts'
import type { CommitWrite } from '../group/effect.ts'
import type { CommitOutcome } from '../group/event.ts'
import type { Compare, Put, StoreResponse, StoreCall, StoreFailure } from '../ports/store.ts'
import { Random } from '../util/random.ts'

/** Limits of one transaction, well below the store's limit of one megabyte. */
const MAX_BATCH_WRITES = 256
const MAX_BATCH_BYTES = 800_000
/** Writes that were never sent fail when the store has been unavailable for this long. */
const UNSENT_TIMEOUT_MS = 3_000
const FIRST_RETRY_DELAY_MS = 100
const MAX_RETRY_DELAY_MS = 2_000

/** Writes of one group that are applied together. */
export type Commit = { readonly group: GroupNumber, readonly epoch: Epoch, readonly commitId: string, readonly writes: readonly CommitWrite[] }

/** A commit whose outcome is known. */
export type ResolvedCommit = { readonly commit: Commit, readonly outcome: CommitOutcome }

/** The next store call, if one is due, and the commits whose outcome has become known. */
export type GroupCommitStep = { readonly call: StoreCall | undefined, readonly resolved: readonly ResolvedCommit[] }

/** Options of the group commit of one member. */
export type GroupCommitOptions = {
  readonly memberId: MemberId
  readonly incarnation: string
  readonly seed: number
  /** Maximum time for which the writes of all groups are collected before they are sent in one transaction. */
  readonly gatherMs: number
  /** Returns the key and value of a group's owner record in the store; every transaction requires this value. */
  readonly getOwnershipRecord: (group: GroupNumber, epoch: Epoch) => { readonly key: string, readonly value: string }
}

type Phase = 'unknown' | 'reading' | 'idle' | 'writing' | 'read-back-due' | 'reading-back'

/**
 * Writes the changes of all groups of one member to the store, batched into one transaction at a time.
 *
 * Each transaction compares and replaces the member's marker `commits/<member>`. After a lost response, the marker shows
 * whether the transaction was applied. A transaction that arrives late fails because its marker is outdated.
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
  /** Ids of commits whose transaction got no response; the transaction may still reach the store and be applied. */
  private readonly ambiguousCommitIds = new Set<string>()
  private readonly random: Random

  private constructor (private readonly options: GroupCommitOptions) {
    this.random = Random.create(options.seed)
  }

  /**
   * Creates a group commit without writes; the marker is read before the first transaction.
   *
   * @example
   * GroupCommit.create({ memberId: 'entry-1', incarnation: 'a', seed: 1, gatherMs: 50, getOwnershipRecord })
   */
  static create (options: GroupCommitOptions): GroupCommit {
    return new GroupCommit(options)
  }

  /** Queues writes of one group for the next transaction. */
  enqueue (now: number, commit: Commit): void {
    if (this.queue.length === 0) this.flushAt = now + this.options.gatherMs
    this.queue.push(commit)
  }

  /** Returns the store call that is due; called at each tick and after each response. */
  step (now: number): GroupCommitStep {
    const resolved = this.failUnsentCommits(now)
    if (now < this.retryAt) return { call: undefined, resolved }
    switch (this.phase) {
      case 'unknown':
        if (this.queue.length === 0 && this.failingSince === undefined) return { call: undefined, resolved }
        this.phase = 'reading'
        return { call: this.createMarkerRead(), resolved }
      case 'read-back-due':
        this.phase = 'reading-back'
        return { call: this.createMarkerRead(), resolved }
      case 'idle':
        if (this.queue.length === 0 || now < this.flushAt) return { call: undefined, resolved }
        this.phase = 'writing'
        this.batch = this.dequeueBatch()
        return { call: this.createTransaction(), resolved }
      case 'reading':
      case 'writing':
      case 'reading-back':
        return { call: undefined, resolved }
    }
  }

  /** Handles the response to the last call. */
  handleResponse (now: number, result: Result<StoreResponse, StoreFailure>): GroupCommitStep {
    const resolved = result.isOk() ? this.handleSuccess(result.value) : this.handleFailure(now, result.error)
    if (result.isOk()) {
      this.retries = 0
      this.failingSince = undefined
    }
    const next = this.step(now)
    return { call: next.call, resolved: [...resolved, ...next.resolved] }
  }

  private handleSuccess (response: StoreResponse): readonly ResolvedCommit[] {
    if (response.type === 'read') return this.handleMarkerRead(response.entries.find((entry) => entry.key === this.markerKey)?.value)
    if (response.type !== 'transact') return []
    if (response.committed) return this.resolveBatch()
    const current = new Map(response.current.map((entry) => [entry.key, entry.value]))
    if (current.get(this.markerKey) !== this.marker) {
      this.phase = 'read-back-due'
      return []
    }
    return this.removeFencedCommits(current)
  }

  private handleMarkerRead (value: string | undefined): readonly ResolvedCommit[] {
    const applied = this.phase === 'reading-back' && value === this.nextMarker
    if (applied) return this.resolveBatch()
    this.marker = value
    this.queue = [...this.batch, ...this.queue]
    this.batch = []
    this.phase = 'idle'
    return []
  }

  private resolveBatch (): readonly ResolvedCommit[] {
    const resolved = this.batch.map((commit): ResolvedCommit => ({ commit, outcome: 'applied' }))
    this.marker = this.nextMarker
    for (const commit of this.batch) this.ambiguousCommitIds.delete(commit.commitId)
    this.batch = []
    this.phase = 'idle'
    return resolved
  }

  private removeFencedCommits (current: ReadonlyMap<string, string>): readonly ResolvedCommit[] {
    const isFenced = (commit: Commit): boolean => {
      const record = this.options.getOwnershipRecord(commit.group, commit.epoch)
      return current.get(record.key) !== record.value
    }
    const fenced = this.batch.filter(isFenced)
    this.queue = [...this.batch.filter((commit) => !isFenced(commit)), ...this.queue]
    this.batch = []
    this.phase = 'idle'
    return fenced.map((commit) => ({ commit, outcome: 'fenced' }))
  }

  private handleFailure (now: number, failure: StoreFailure): readonly ResolvedCommit[] {
    this.failingSince ??= now
    this.retryAt = now + this.nextRetryDelayMs()
    if (this.phase === 'reading') this.phase = 'unknown'
    else if (this.phase === 'reading-back') this.phase = 'read-back-due'
    else if (failure.verdict === 'may-have-applied') {
      for (const commit of this.batch) this.ambiguousCommitIds.add(commit.commitId)
      this.phase = 'read-back-due'
    } else {
      this.queue = [...this.batch, ...this.queue]
      this.batch = []
      this.phase = 'unknown'
    }
    return []
  }

  private failUnsentCommits (now: number): readonly ResolvedCommit[] {
    if (this.failingSince === undefined || now - this.failingSince < UNSENT_TIMEOUT_MS) return []
    const unsent = this.queue.filter((commit) => !this.ambiguousCommitIds.has(commit.commitId))
    this.queue = this.queue.filter((commit) => this.ambiguousCommitIds.has(commit.commitId))
    return unsent.map((commit) => ({ commit, outcome: 'failed' }))
  }

  private dequeueBatch (): readonly Commit[] {
    let writes = 0
    let bytes = 0
    let count = 0
    for (const commit of this.queue) {
      writes += commit.writes.length
      bytes += estimateSizeBytes(commit)
      if (count > 0 && (writes > MAX_BATCH_WRITES || bytes > MAX_BATCH_BYTES)) break
      count += 1
    }
    return this.queue.splice(0, count)
  }

  private createTransaction (): StoreCall {
    this.batchNumber += 1
    this.nextMarker = `${this.options.incarnation}/${this.batchNumber}`
    const ownershipCompares = new Map(this.batch.map((commit) => {
      const { key, value } = this.options.getOwnershipRecord(commit.group, commit.epoch)
      return [key, { type: 'value', key, value } satisfies Compare]
    }))
    const writes = new Map(this.batch.flatMap((commit) => commit.writes).map((write) => [write.key, write]))
    const puts: Put[] = [{ key: this.markerKey, value: this.nextMarker }]
    const deletes: string[] = []
    for (const write of writes.values()) {
      if (write.type === 'put') puts.push({ key: write.key, value: write.value })
      else deletes.push(write.key)
    }
    return { type: 'transact', compares: [this.createMarkerCompare(), ...ownershipCompares.values()], puts, deletes }
  }

  private createMarkerCompare (): Compare {
    const key = this.markerKey
    return this.marker === undefined ? { type: 'absent', key } : { type: 'value', key, value: this.marker }
  }

  private createMarkerRead (): StoreCall {
    return { type: 'read', prefix: this.markerKey }
  }

  private get markerKey (): string {
    return `commits/${this.options.memberId}`
  }

  private nextRetryDelayMs (): number {
    const limitMs = Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** this.retries)
    this.retries += 1
    return limitMs / 2 + this.random.next() * limitMs / 2
  }
}

function estimateSizeBytes (commit: Commit): number {
  return commit.writes.reduce((sum, write) => sum + write.key.length + (write.type === 'put' ? write.value.length : 0), 0)
}
