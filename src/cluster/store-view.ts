import type { GroupNumber, MemberId } from '../model/ids.ts'
import type { Roster } from '../model/peer.ts'
import type { StoreResponse, StoreChange, StoreEntry } from '../ports/store.ts'
import { Backoff } from './backoff.ts'
import type { Context } from './context.ts'
import { GROUPS_PREFIX, MEMBERS_PREFIX, parseGroupRecord, parseMemberRecord, parseRoster, REVISIONS_PREFIX, ROSTER_KEY } from './store-records.ts'
import type { GroupRecord, MemberRecord } from './store-records.ts'

/** A record with the store version of its last write. */
export type Versioned<Value> = { readonly value: Value, readonly version: number }

const PAGE_ENTRIES = 500
/** Time that the response to a watch may take beyond the wait of the watch. */
const WATCH_RESPONSE_GRACE_MS = 2_000
/** A second watch is started when the first is overdue by this time, so that one lost response does not delay a takeover. */
const WATCH_OVERDUE_MS = 500
const MAX_WATCHES = 2
/** A store may split a larger watch response, so such a response does not confirm that nothing newer exists. */
const MAX_UNSPLIT_RESPONSE_CHARACTERS = 500_000
const VIEW_PREFIXES = [ROSTER_KEY, MEMBERS_PREFIX, GROUPS_PREFIX] as const

type ReadResponse = Extract<StoreResponse, { readonly type: 'read' }>
type WatchResponse = Extract<StoreResponse, { readonly type: 'watch' }>

/** Notified of stored revisions (keys with the prefix `configuration/0`), of confirmed watches and of reloads. */
export type StoreViewListener = {
  readonly revisionStored: (value: string) => void
  /** Called when everything stored before `at` has been delivered. */
  readonly confirmed: (at: number) => void
  /** Called when changes may be missing, so that the configuration must be read again. */
  readonly reloaded: () => void
}

/** This member's copy of the roster, the members and the group records, kept current by one watch. */
export class StoreView {
  readonly members = new Map<MemberId, Versioned<MemberRecord>>()
  readonly groups = new Map<GroupNumber, Versioned<GroupRecord>>()
  roster: Versioned<Roster> | undefined
  /** Sending time of the newest watch whose response was complete. */
  confirmedAt = -Infinity
  /** Time of the last change of a key under `members/`. */
  membersChangedAt = 0
  /** Incremented with each change of a record. */
  generation = 0
  private loadStep = 0
  private readEntries: StoreEntry[] = []
  private readonly readVersions: number[] = [0, 0, 0]
  private watchVersion = 0
  private reading = false
  private openWatches = 0
  private watchSentAt = -Infinity
  private readonly backoff: Backoff

  private constructor (private readonly context: Context, private readonly listener: StoreViewListener) {
    this.backoff = Backoff.create(context.random)
  }

  static create (context: Context, listener: StoreViewListener): StoreView {
    return new StoreView(context, listener)
  }

  get loaded (): boolean {
    return this.loadStep >= VIEW_PREFIXES.length
  }

  tick (): void {
    const { now, timings } = this.context
    if (this.reading || !this.backoff.isDue(now)) return
    if (!this.loaded) return this.readPage(undefined)
    const overdue = this.openWatches < MAX_WATCHES && now > this.watchSentAt + timings.watchWaitMs + WATCH_OVERDUE_MS
    if (this.openWatches === 0 || overdue) this.startWatch()
  }

  /** Applies entries that a transaction wrote or returned; those of `keys` without an entry are absent from the store. */
  applyEntries (keys: readonly string[], current: readonly StoreEntry[], version: number): void {
    const present = new Set(current.map((entry) => entry.key))
    for (const entry of current) this.applyChange({ type: 'put', entry })
    for (const key of keys) {
      if (!present.has(key)) this.applyChange({ type: 'deleted', key, version })
    }
  }

  private readPage (after: string | undefined): void {
    const { context } = this
    const sentAt = context.now
    const prefix = VIEW_PREFIXES[this.loadStep] ?? ROSTER_KEY
    this.reading = true
    context.storeCalls.call('view', { type: 'read', prefix, after, limit: PAGE_ENTRIES }, sentAt, (result) => {
      this.reading = false
      if (result.isErr() || result.value.type !== 'read') return this.handleFailure()
      this.backoff.reset()
      this.handlePage(result.value)
    })
  }

  private handleFailure (): void {
    this.readEntries = []
    this.backoff.recordFailure(this.context.now)
  }

  private handlePage (response: ReadResponse): void {
    this.readEntries.push(...response.entries)
    const last = response.entries.at(-1)
    if (response.more && last !== undefined) return this.readPage(last.key)
    this.replaceRecords(this.readEntries)
    this.readEntries = []
    this.readVersions[this.loadStep] = response.version
    this.loadStep += 1
    if (!this.loaded) return this.readPage(undefined)
    this.watchVersion = Math.min(...this.readVersions)
    this.listener.reloaded()
    if (this.openWatches === 0) this.startWatch()
  }

  private replaceRecords (entries: readonly StoreEntry[]): void {
    switch (this.loadStep) {
      case 0: this.roster = undefined; break
      case 1: this.members.clear(); break
      default: this.groups.clear()
    }
    for (const entry of entries) this.putRecord(entry)
  }

  private startWatch (): void {
    const { context } = this
    const sentAt = context.now
    const waitMs = context.timings.watchWaitMs
    this.openWatches += 1
    this.watchSentAt = sentAt
    context.storeCalls.call('watch', { type: 'watch', prefixes: [...VIEW_PREFIXES, REVISIONS_PREFIX], afterVersion: this.watchVersion, waitMs }, sentAt, (result) => {
      this.openWatches -= 1
      if (result.isErr() || result.value.type !== 'watch') return this.handleFailure()
      this.backoff.reset()
      this.handleWatchResponse(result.value, sentAt)
    }, waitMs + WATCH_RESPONSE_GRACE_MS)
  }

  private handleWatchResponse (response: WatchResponse, sentAt: number): void {
    if (!this.loaded) return
    if (response.compacted) {
      this.loadStep = 0
      this.context.outbox.count('store-view', 'compacted')
      return this.readPage(undefined)
    }
    // A late response must not restore a record that a newer response has deleted.
    for (const change of response.changes) if (getChangeVersion(change) > this.watchVersion) this.applyChange(change)
    this.watchVersion = Math.max(this.watchVersion, response.version)
    if (!mayBePartial(response)) {
      this.confirmedAt = Math.max(this.confirmedAt, sentAt)
      this.listener.confirmed(sentAt)
    }
    if (this.openWatches === 0) this.startWatch()
  }

  private applyChange (change: StoreChange): void {
    const key = change.type === 'put' ? change.entry.key : change.key
    const version = getChangeVersion(change)
    const step = VIEW_PREFIXES.findIndex((prefix) => key.startsWith(prefix))
    if (step >= 0 && version <= (this.readVersions[step] ?? 0)) return
    if (step >= 0 && version < this.getVersion(key)) return
    if (change.type === 'put') this.putRecord(change.entry)
    else this.removeRecord(change.key)
  }

  private getVersion (key: string): number {
    if (key === ROSTER_KEY) return this.roster?.version ?? 0
    if (key.startsWith(MEMBERS_PREFIX)) return this.members.get(key.slice(MEMBERS_PREFIX.length))?.version ?? 0
    return this.groups.get(Number(key.slice(GROUPS_PREFIX.length)))?.version ?? 0
  }

  private putRecord ({ key, value, version }: StoreEntry): void {
    this.generation += 1
    if (key === ROSTER_KEY) {
      const roster = parseRoster(value)
      if (roster !== undefined) this.roster = { value: roster, version }
    } else if (key.startsWith(MEMBERS_PREFIX)) {
      const record = parseMemberRecord(value)
      if (record === undefined) return
      this.members.set(key.slice(MEMBERS_PREFIX.length), { value: record, version })
      this.membersChangedAt = this.context.now
    } else if (key.startsWith(GROUPS_PREFIX)) {
      const record = parseGroupRecord(value)
      if (record !== undefined) this.groups.set(Number(key.slice(GROUPS_PREFIX.length)), { value: record, version })
    } else if (key.startsWith(REVISIONS_PREFIX)) {
      this.listener.revisionStored(value)
    }
  }

  private removeRecord (key: string): void {
    this.generation += 1
    if (key === ROSTER_KEY) {
      this.roster = undefined
    } else if (key.startsWith(MEMBERS_PREFIX)) {
      if (this.members.delete(key.slice(MEMBERS_PREFIX.length))) this.membersChangedAt = this.context.now
    } else if (key.startsWith(GROUPS_PREFIX)) {
      this.groups.delete(Number(key.slice(GROUPS_PREFIX.length)))
    }
  }
}

function getChangeVersion (change: StoreChange): number {
  return change.type === 'put' ? change.entry.version : change.version
}

function mayBePartial (response: WatchResponse): boolean {
  const characters = response.changes.reduce((sum, change) => sum + (change.type === 'put' ? change.entry.value.length : 0), 0)
  return characters > MAX_UNSPLIT_RESPONSE_CHARACTERS
}
