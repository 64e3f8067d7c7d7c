import type { ConfigurationRevision } from '../model/configuration.ts'
import type { ClusterEvent } from './event.ts'
import type { PublishOutcome } from './effect.ts'
import { Backoff } from './backoff.ts'
import { checkChanges } from './check-changes.ts'
import type { ConfigurationLog } from './configuration-log.ts'
import type { Context } from './context.ts'
import type { Membership } from './membership.ts'
import type { RosterState } from './roster-state.ts'
import { snapshotPuts } from './snapshot.ts'
import { HEAD_KEY, headValue, parseHead, parseRevision, revisionKey } from './store-records.ts'
import type { TransactionOutcome } from './store-calls.ts'

type Ask = Extract<ClusterEvent, { readonly type: 'publish-requested' }>

type Publication = {
  readonly askId: string
  readonly revision: ConfigurationRevision
  /** Author of the revision before. */
  readonly previousAuthor: string
  readonly deadline: number
  readonly backoff: Backoff
  /** `unsettled`: an attempt may still take effect. */
  state: 'writing' | 'unsettled' | 'clean' | 'stored'
}

const SNAPSHOT_INTERVAL = 100
/** Revisions before a snapshot that stay in the store for members that are behind. */
const KEPT_BEFORE_SNAPSHOT = 200

/** Publishes revisions by compare-and-swap, and reports them accepted once a majority has applied them. */
export class Publisher {
  private readonly publications = new Set<Publication>()
  private nonces = 0

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

  ask (ask: Ask): void {
    const { now, options, timings } = this.context
    const { configuration, author } = this.log
    if (ask.expected !== undefined && ask.expected !== configuration.revision) {
      return this.answer(ask.askId, { type: 'conflict', revision: configuration.revision, author })
    }
    const fault = checkChanges(configuration, ask.changes)
    if (fault !== undefined) return this.answer(ask.askId, { type: 'invalid', detail: fault })
    this.nonces += 1
    const nonce = `${options.member}/${this.incarnation()}/${this.nonces}`
    const revision = { revision: configuration.revision + 1, author: ask.author, at: ask.at, nonce, changes: ask.changes }
    const publication: Publication = { askId: ask.askId, revision, previousAuthor: author, deadline: now + timings.publishTimeoutMs, backoff: Backoff.create(this.context.random), state: 'clean' }
    this.publications.add(publication)
    this.write(publication)
  }

  tick (): void {
    for (const publication of this.publications) {
      const applied = publication.state === 'stored' ? undefined : this.log.find(publication.revision.revision)
      if (publication.state === 'stored') this.checkInForce(publication)
      else if (applied !== undefined) this.settle(publication, applied)
      else if (this.context.now >= publication.deadline) this.giveUp(publication)
      else if (publication.state !== 'writing' && publication.backoff.due(this.context.now)) this.write(publication)
    }
  }

  private answer (askId: string, outcome: PublishOutcome): void {
    this.context.outbox.count('publications', outcome.type)
    this.context.outbox.emit({ type: 'publish-answered', askId, outcome })
  }

  private finish (publication: Publication, outcome: PublishOutcome): void {
    this.publications.delete(publication)
    this.answer(publication.askId, outcome)
  }

  /** Repeating the same guarded write settles a lost answer: a refusal returns the stored revision with its nonce. */
  private write (publication: Publication): void {
    const { context } = this
    const { revision } = publication
    const key = revisionKey(revision.revision)
    const before = publication.state
    publication.state = 'writing'
    const head = revision.revision === 1
      ? { type: 'absent', key: HEAD_KEY } as const
      : { type: 'value', key: HEAD_KEY, value: headValue(revision.revision - 1, publication.previousAuthor) } as const
    const puts = [{ key, value: JSON.stringify(revision) }, { key: HEAD_KEY, value: headValue(revision.revision, revision.author) }]
    const transaction = { compares: [{ type: 'absent', key } as const, head], puts, deletes: [] }
    context.calls.transact('publish', transaction, context.now, (outcome) => this.written(publication, before === 'unsettled', outcome))
  }

  private written (publication: Publication, unsettled: boolean, outcome: TransactionOutcome): void {
    if (!this.publications.has(publication) || publication.state === 'stored') return
    const { revision } = publication
    switch (outcome.type) {
      case 'committed': return this.stored(publication)
      case 'refused': {
        const entry = outcome.current.find(({ key }) => key === revisionKey(revision.revision))
        const winner = entry === undefined ? undefined : parseRevision(entry.value)
        if (winner?.nonce === revision.nonce) return this.stored(publication)
        if (winner !== undefined) this.log.add(winner)
        const headEntry = outcome.current.find((current) => current.key === HEAD_KEY)
        const newest = winner ?? (headEntry === undefined ? undefined : parseHead(headEntry.value))
        return this.finish(publication, { type: 'conflict', revision: newest?.revision ?? this.log.revision, author: newest?.author ?? this.log.author })
      }
      default:
        publication.state = unsettled || outcome.failure.verdict === 'may-have-applied' ? 'unsettled' : 'clean'
        publication.backoff.failed(this.context.now)
    }
  }

  /** The watch or a peer showed which revision has the number, before the answer to the write arrived. */
  private settle (publication: Publication, applied: ConfigurationRevision): void {
    if (applied.nonce === publication.revision.nonce) this.stored(publication)
    else this.finish(publication, { type: 'conflict', revision: applied.revision, author: applied.author })
  }

  private stored (publication: Publication): void {
    publication.state = 'stored'
    this.log.add(publication.revision)
    for (const { id } of this.roster.roster.members) {
      const address = this.membership.addressOf(id)
      if (id !== this.context.options.member && address !== undefined) this.log.push(id, address, publication.revision.revision - 1)
    }
    this.membership.heartbeatEarly()
    if (publication.revision.revision % SNAPSHOT_INTERVAL === 0) this.writeSnapshot(publication.revision.revision)
    this.checkInForce(publication)
  }

  private checkInForce (publication: Publication): void {
    const inForce = this.membership.membersWithRevision(publication.revision.revision)
    if (inForce.length >= this.roster.majority) {
      this.finish(publication, { type: 'accepted', revision: publication.revision.revision, inForce })
    } else if (this.context.now >= publication.deadline) {
      this.giveUp(publication)
    } else {
      this.membership.heartbeatEarly()
    }
  }

  private giveUp (publication: Publication): void {
    const verdict = publication.state === 'clean' ? 'not-applied' : 'may-have-applied'
    this.finish(publication, { type: 'unavailable', verdict })
  }

  /** A snapshot that fails is left to the next one; the revisions stay in the store until then. */
  private writeSnapshot (revision: number): void {
    if (this.log.revision !== revision) return
    const first = revision - KEPT_BEFORE_SNAPSHOT - SNAPSHOT_INTERVAL
    const old = Array.from({ length: SNAPSHOT_INTERVAL }, (_, index) => first + index + 1).filter((number) => number > 0)
    const puts = snapshotPuts(this.log.snapshot())
    const compares = [{ type: 'value', key: HEAD_KEY, value: headValue(revision, this.log.author) } as const]
    this.context.calls.transact('snapshot', { compares, puts, deletes: old.map(revisionKey) }, this.context.now, (outcome) => {
      this.context.outbox.count('snapshots', outcome.type)
      if (outcome.type === 'committed') this.context.outbox.log('info', 'snapshot-written', { revision, parts: puts.length })
    })
  }
}
