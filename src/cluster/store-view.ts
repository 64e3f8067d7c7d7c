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
/** Beyond the wait of a watch, its answer may take this long. */
const WATCH_GRACE_MS = 2_000
/** A watch that is overdue by this much is joined by a second one, so that one lost answer does not delay a takeover. */
const WATCH_OVERDUE_MS = 500
const MAX_WATCHES = 2
/** A store may split a larger answer of a watch, so such an answer does not confirm that nothing newer exists. */
const WHOLE_ANSWER_CHARACTERS = 500_000
const VIEW_PREFIXES = [ROSTER_KEY, MEMBERS_PREFIX, GROUPS_PREFIX] as const

type ReadAnswer = Extract<StoreResponse, { readonly type: 'read' }>
type WatchAnswer = Extract<StoreResponse, { readonly type: 'watch' }>

/** What the view tells the configuration part: keys below `configuration/0` and successful watches. */
export type ViewListener = {
  readonly revisionStored: (value: string) => void
  /** Everything stored before `at` has been delivered. */
  readonly confirmed: (at: number) => void
  /** Changes may be missing; the configuration must be read again. */
  readonly reloaded: () => void
}

/** This member's copy of the roster, the members and the group records, kept current by one watch. */
export class StoreView {
  readonly members = new Map<MemberId, Versioned<MemberRecord>>()
  readonly groups = new Map<GroupNumber, Versioned<GroupRecord>>()
  roster: Versioned<Roster> | undefined
  /** Time of the sending of the newest answered read or watch. */
  confirmedAt = -Infinity
  /** When the set of keys below `members/` last changed. */
  membersChangedAt = 0
  /** Grows with each change of a record. */
  generation = 0
  private loadStep = 0
  private page: StoreEntry[] = []
  private readonly readVersions: number[] = [0, 0, 0]
  private watchVersion = 0
  private reading = false
  private watches = 0
  private watchSentAt = -Infinity
  private readonly backoff: Backoff

  private constructor (private readonly context: Context, private readonly listener: ViewListener) {
    this.backoff = Backoff.create(context.random)
  }

  static create (context: Context, listener: ViewListener): StoreView {
    return new StoreView(context, listener)
  }

  get loaded (): boolean {
    return this.loadStep >= VIEW_PREFIXES.length
  }

  tick (): void {
    const { now, timings } = this.context
    if (this.reading || !this.backoff.due(now)) return
    if (!this.loaded) return this.read(undefined)
    const overdue = this.watches < MAX_WATCHES && now > this.watchSentAt + timings.watchWaitMs + WATCH_OVERDUE_MS
    if (this.watches === 0 || overdue) this.watch()
  }

  /** Takes over the entries that a refused transaction returned; `keys` without an entry are absent. */
  absorb (keys: readonly string[], current: readonly StoreEntry[], version: number): void {
    const present = new Set(current.map((entry) => entry.key))
    for (const entry of current) this.change({ type: 'put', entry })
    for (const key of keys) {
      if (!present.has(key)) this.change({ type: 'deleted', key, version })
    }
  }

  private read (after: string | undefined): void {
    const { context } = this
    const sentAt = context.now
    const prefix = VIEW_PREFIXES[this.loadStep] ?? ROSTER_KEY
    this.reading = true
    context.calls.call('view', { type: 'read', prefix, after, limit: PAGE_ENTRIES }, sentAt, (result) => {
      this.reading = false
      if (result.isErr() || result.value.type !== 'read') return this.failed()
      this.backoff.succeeded()
      this.pageRead(result.value)
    })
  }

  private failed (): void {
    this.page = []
    this.backoff.failed(this.context.now)
  }

  private pageRead (answer: ReadAnswer): void {
    this.page.push(...answer.entries)
    const last = answer.entries.at(-1)
    if (answer.more && last !== undefined) return this.read(last.key)
    this.replace(this.page)
    this.page = []
    this.readVersions[this.loadStep] = answer.version
    this.loadStep += 1
    if (!this.loaded) return this.read(undefined)
    this.watchVersion = Math.min(...this.readVersions)
    this.listener.reloaded()
    if (this.watches === 0) this.watch()
  }

  private replace (entries: readonly StoreEntry[]): void {
    switch (this.loadStep) {
      case 0: this.roster = undefined; break
      case 1: this.members.clear(); break
      default: this.groups.clear()
    }
    for (const entry of entries) this.put(entry)
  }

  private watch (): void {
    const { context } = this
    const sentAt = context.now
    const waitMs = context.timings.watchWaitMs
    this.watches += 1
    this.watchSentAt = sentAt
    context.calls.call('watch', { type: 'watch', prefixes: [...VIEW_PREFIXES, REVISIONS_PREFIX], afterVersion: this.watchVersion, waitMs }, sentAt, (result) => {
      this.watches -= 1
      if (result.isErr() || result.value.type !== 'watch') return this.failed()
      this.backoff.succeeded()
      this.watched(result.value, sentAt)
    }, waitMs + WATCH_GRACE_MS)
  }

  private watched (answer: WatchAnswer, sentAt: number): void {
    if (!this.loaded) return
    if (answer.compacted) {
      this.loadStep = 0
      this.context.outbox.count('store-view', 'compacted')
      return this.read(undefined)
    }
    // An answer that arrives late must not bring back what a newer one has deleted.
    for (const change of answer.changes) if (versionOfChange(change) > this.watchVersion) this.change(change)
    this.watchVersion = Math.max(this.watchVersion, answer.version)
    if (!mayBePartial(answer)) {
      this.confirmedAt = Math.max(this.confirmedAt, sentAt)
      this.listener.confirmed(sentAt)
    }
    if (this.watches === 0) this.watch()
  }

  private change (change: StoreChange): void {
    const key = change.type === 'put' ? change.entry.key : change.key
    const version = versionOfChange(change)
    const step = VIEW_PREFIXES.findIndex((prefix) => key.startsWith(prefix))
    if (step >= 0 && version <= (this.readVersions[step] ?? 0)) return
    if (step >= 0 && version < this.versionOf(key)) return
    if (change.type === 'put') this.put(change.entry)
    else this.remove(change.key)
  }

  private versionOf (key: string): number {
    if (key === ROSTER_KEY) return this.roster?.version ?? 0
    if (key.startsWith(MEMBERS_PREFIX)) return this.members.get(key.slice(MEMBERS_PREFIX.length))?.version ?? 0
    return this.groups.get(Number(key.slice(GROUPS_PREFIX.length)))?.version ?? 0
  }

  private put ({ key, value, version }: StoreEntry): void {
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

  private remove (key: string): void {
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

function versionOfChange (change: StoreChange): number {
  return change.type === 'put' ? change.entry.version : change.version
}

function mayBePartial (answer: WatchAnswer): boolean {
  const characters = answer.changes.reduce((sum, change) => sum + (change.type === 'put' ? change.entry.value.length : 0), 0)
  return characters > WHOLE_ANSWER_CHARACTERS
}
