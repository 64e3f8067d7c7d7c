import type { Configuration, ConfigurationRevision } from '../model/configuration.ts'
import type { MemberId, Revision } from '../model/ids.ts'
import { applyRevision, EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { ClusterMessage, ConfigurationSnapshot } from '../model/peer.ts'
import type { Context } from './context.ts'
import { restoreConfiguration, toSnapshot } from './snapshot.ts'

/** Applied revisions kept in memory, to send to peers that lack them. */
const MAX_RECENT_REVISIONS = 300
/** Revisions received out of order and kept until the missing ones arrive. */
const MAX_PENDING_REVISIONS = 1_000
/** Minimum time between two pushes of the same revisions to the same peer. */
const MIN_PUSH_INTERVAL_MS = 300

/** The configuration in force at this member and its most recent revisions. Revisions are applied strictly in order. */
export class ConfigurationLog {
  private current: Configuration = EMPTY_CONFIGURATION
  private currentAuthor = ''
  private readonly recent: ConfigurationRevision[] = []
  private readonly pending = new Map<Revision, ConfigurationRevision>()
  private readonly lastPushes = new Map<MemberId, { readonly from: Revision, readonly to: Revision, readonly at: number }>()
  /** Highest revision received, whether applied or not. */
  highestSeen: Revision = 0

  private constructor (private readonly context: Context) {}

  static create (context: Context): ConfigurationLog {
    return new ConfigurationLog(context)
  }

  get configuration (): Configuration {
    return this.current
  }

  get revision (): Revision {
    return this.current.revision
  }

  /** Author of the newest applied revision. */
  get author (): string {
    return this.currentAuthor
  }

  /** Returns an applied revision if it is still kept in memory. */
  find (revision: Revision): ConfigurationRevision | undefined {
    return this.recent.find((entry) => entry.revision === revision)
  }

  /** Whether revisions up to the highest one received are missing. */
  get hasGap (): boolean {
    return this.highestSeen > this.current.revision
  }

  add (revision: ConfigurationRevision): void {
    this.highestSeen = Math.max(this.highestSeen, revision.revision)
    if (revision.revision <= this.current.revision) return
    if (this.pending.size < MAX_PENDING_REVISIONS) this.pending.set(revision.revision, revision)
    this.applyPending()
  }

  addSnapshot (snapshot: ConfigurationSnapshot): void {
    this.highestSeen = Math.max(this.highestSeen, snapshot.revision)
    if (snapshot.revision <= this.current.revision) return
    this.current = restoreConfiguration(snapshot)
    this.currentAuthor = snapshot.author
    this.recent.length = 0
    for (const number of [...this.pending.keys()]) {
      if (number <= snapshot.revision) this.pending.delete(number)
    }
    this.reportApplied()
    this.applyPending()
  }

  /** Sends a peer that is at `revision` the revisions that it lacks, or a snapshot if some are no longer kept. */
  pushTo (peer: MemberId, address: string, revision: Revision): void {
    const { now, outbox } = this.context
    const lastPush = this.lastPushes.get(peer)
    if (lastPush !== undefined && lastPush.from === revision && lastPush.to === this.revision && now < lastPush.at + MIN_PUSH_INTERVAL_MS) return
    this.lastPushes.set(peer, { from: revision, to: this.revision, at: now })
    outbox.send(peer, address, this.buildUpdate(revision))
  }

  createSnapshot (): ConfigurationSnapshot {
    return toSnapshot(this.current, this.currentAuthor)
  }

  private buildUpdate (revision: Revision): ClusterMessage {
    const first = this.recent[0]?.revision ?? Infinity
    if (first > revision + 1) return { type: 'snapshot', snapshot: this.createSnapshot() }
    return { type: 'revisions', revisions: this.recent.filter((entry) => entry.revision > revision) }
  }

  private applyPending (): void {
    for (;;) {
      const next = this.pending.get(this.current.revision + 1)
      if (next === undefined) return
      this.pending.delete(next.revision)
      this.current = applyRevision(this.current, next)
      this.currentAuthor = next.author
      this.recent.push(next)
      if (this.recent.length > MAX_RECENT_REVISIONS) this.recent.shift()
      this.reportApplied()
    }
  }

  private reportApplied (): void {
    this.context.outbox.emit({ type: 'configuration-applied', configuration: this.current })
    this.context.outbox.log('info', 'configuration-applied', { revision: this.current.revision, author: this.currentAuthor })
  }
}
