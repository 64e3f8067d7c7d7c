import type { ConfigurationRevision } from '../model/configuration.ts'
import type { ClusterEvent } from './event.ts'
import type { PublishOutcome } from './effect.ts'
import { Backoff } from './backoff.ts'
import { checkChanges } from './check-changes.ts'
import type { ConfigurationLog } from './configuration-log.ts'
import type { Context } from './context.ts'
import type { Membership } from './membership.ts'
import type { RosterState } from './roster-state.ts'
import { buildSnapshotPuts } from './snapshot.ts'
import { HEAD_KEY, formatHead, parseHead, parseRevision, revisionKey } from './store-records.ts'
import type { TransactionOutcome } from './store-calls.ts'

type PublishRequest = Extract<ClusterEvent, { readonly type: 'publish-requested' }>

type Publication = {
  readonly requestId: string
  readonly revision: ConfigurationRevision
  /** Author of the previous revision. */
  readonly previousAuthor: string
  readonly deadlineAt: number
  readonly backoff: Backoff
  /** `unwritten`: no attempt can have taken effect; `uncertain`: an earlier attempt may have taken effect or may still do so. */
  state: 'writing' | 'uncertain' | 'unwritten' | 'stored'
}

/** A snapshot is written at each multiple of this number of revisions. */
const SNAPSHOT_INTERVAL_REVISIONS = 100
/** Number of revisions before a snapshot that stay in the store for members that are behind. */
const KEPT_REVISIONS_BEFORE_SNAPSHOT = 200

/** Publishes revisions by compare-and-swap, and reports them as accepted once a majority has applied them. */
export class Publisher {
  private readonly publications = new Set<Publication>()
  private nonceCount = 0

  private constructor (
    private readonly context: Context,
    private readonly log: ConfigurationLog,
    private readonly membership: Membership,
    private readonly roster: RosterState,
    private readonly incarnation: () => string
  ) {}

  static create (context: Context, log: ConfigurationLog, membership: Membership, roster: RosterState, incarnation: () => string): Publisher {
    return new Publisher(context, log, membership, roster, incarnation)
  }

  publish (request: PublishRequest): void {
    const { now, options, timings } = this.context
    const { configuration, author } = this.log
    if (request.expected !== undefined && request.expected !== configuration.revision) {
      return this.respond(request.requestId, { type: 'conflict', revision: configuration.revision, author })
    }
    const error = checkChanges(configuration, request.changes)
    if (error !== undefined) return this.respond(request.requestId, { type: 'invalid', detail: error })
    this.nonceCount += 1
    const nonce = `${options.member}/${this.incarnation()}/${this.nonceCount}`
    const revision = { revision: configuration.revision + 1, author: request.author, at: request.at, nonce, changes: request.changes }
    const publication: Publication = { requestId: request.requestId, revision, previousAuthor: author, deadlineAt: now + timings.publishTimeoutMs, backoff: Backoff.create(this.context.random), state: 'unwritten' }
    this.publications.add(publication)
    this.write(publication)
  }

  tick (): void {
    for (const publication of this.publications) {
      const applied = publication.state === 'stored' ? undefined : this.log.find(publication.revision.revision)
      if (publication.state === 'stored') this.checkInForce(publication)
      else if (applied !== undefined) this.resolveFromLog(publication, applied)
      else if (this.context.now >= publication.deadlineAt) this.giveUp(publication)
      else if (publication.state !== 'writing' && publication.backoff.isDue(this.context.now)) this.write(publication)
    }
  }

  private respond (requestId: string, outcome: PublishOutcome): void {
    this.context.outbox.count('publications', outcome.type)
    this.context.outbox.emit({ type: 'publish-answered', requestId, outcome })
  }

  private finish (publication: Publication, outcome: PublishOutcome): void {
    this.publications.delete(publication)
    this.respond(publication.requestId, outcome)
  }

  /** Attempts the guarded write. If a response was lost, a repeated write is refused and returns the stored revision, whose nonce shows the outcome. */
  private write (publication: Publication): void {
    const { context } = this
    const { revision } = publication
    const key = revisionKey(revision.revision)
    const previousState = publication.state
    publication.state = 'writing'
    const head = revision.revision === 1
      ? { type: 'absent', key: HEAD_KEY } as const
      : { type: 'value', key: HEAD_KEY, value: formatHead(revision.revision - 1, publication.previousAuthor) } as const
    const puts = [{ key, value: JSON.stringify(revision) }, { key: HEAD_KEY, value: formatHead(revision.revision, revision.author) }]
    const transaction = { compares: [{ type: 'absent', key } as const, head], puts, deletes: [] }
    context.storeCalls.transact('publish', transaction, context.now, (outcome) => this.handleWriteOutcome(publication, previousState === 'uncertain', outcome))
  }

  private handleWriteOutcome (publication: Publication, wasUncertain: boolean, outcome: TransactionOutcome): void {
    if (!this.publications.has(publication) || publication.state === 'stored') return
    const { revision } = publication
    switch (outcome.type) {
      case 'committed': return this.handleStored(publication)
      case 'refused': {
        const entry = outcome.current.find(({ key }) => key === revisionKey(revision.revision))
        const winner = entry === undefined ? undefined : parseRevision(entry.value)
        if (winner?.nonce === revision.nonce) return this.handleStored(publication)
        if (winner !== undefined) this.log.add(winner)
        const headEntry = outcome.current.find((current) => current.key === HEAD_KEY)
        const newest = winner ?? (headEntry === undefined ? undefined : parseHead(headEntry.value))
        return this.finish(publication, { type: 'conflict', revision: newest?.revision ?? this.log.revision, author: newest?.author ?? this.log.author })
      }
      default:
        publication.state = wasUncertain || outcome.failure.verdict === 'may-have-applied' ? 'uncertain' : 'unwritten'
        publication.backoff.recordFailure(this.context.now)
    }
  }

  /** Handles a revision with this number that arrived from the watch or a peer before the response to the write. */
  private resolveFromLog (publication: Publication, applied: ConfigurationRevision): void {
    if (applied.nonce === publication.revision.nonce) this.handleStored(publication)
    else this.finish(publication, { type: 'conflict', revision: applied.revision, author: applied.author })
  }

  private handleStored (publication: Publication): void {
    publication.state = 'stored'
    this.log.add(publication.revision)
    for (const { id } of this.roster.roster.members) {
      const address = this.membership.getAddress(id)
      if (id !== this.context.options.member && address !== undefined) this.log.pushTo(id, address, publication.revision.revision - 1)
    }
    this.membership.sendHeartbeatsEarly()
    if (publication.revision.revision % SNAPSHOT_INTERVAL_REVISIONS === 0) this.writeSnapshot(publication.revision.revision)
    this.checkInForce(publication)
  }

  private checkInForce (publication: Publication): void {
    const inForce = this.membership.getMembersWithRevision(publication.revision.revision)
    if (inForce.length >= this.roster.majority) {
      this.finish(publication, { type: 'accepted', revision: publication.revision.revision, inForce })
    } else if (this.context.now >= publication.deadlineAt) {
      this.giveUp(publication)
    } else {
      this.membership.sendHeartbeatsEarly()
    }
  }

  private giveUp (publication: Publication): void {
    const verdict = publication.state === 'unwritten' ? 'not-applied' : 'may-have-applied'
    this.finish(publication, { type: 'unavailable', verdict })
  }

  /** Writes a snapshot. A failed write is not repeated; the revisions stay in the store until the next snapshot. */
  private writeSnapshot (revision: number): void {
    if (this.log.revision !== revision) return
    const lastDeleted = revision - KEPT_REVISIONS_BEFORE_SNAPSHOT - SNAPSHOT_INTERVAL_REVISIONS
    const obsoleteRevisions = Array.from({ length: SNAPSHOT_INTERVAL_REVISIONS }, (_, index) => lastDeleted + index + 1).filter((number) => number > 0)
    const puts = buildSnapshotPuts(this.log.createSnapshot())
    const compares = [{ type: 'value', key: HEAD_KEY, value: formatHead(revision, this.log.author) } as const]
    this.context.storeCalls.transact('snapshot', { compares, puts, deletes: obsoleteRevisions.map(revisionKey) }, this.context.now, (outcome) => {
      this.context.outbox.count('snapshots', outcome.type)
      if (outcome.type === 'committed') this.context.outbox.log('info', 'snapshot-written', { revision, parts: puts.length })
    })
  }
}
