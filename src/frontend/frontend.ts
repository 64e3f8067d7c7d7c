import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import { parseGroupNumber, parseWorkId, type Epoch, type GroupNumber, type MemberId } from '../model/ids.ts'
import type { CallerMessage, GroupSummary } from '../model/peer.ts'
import type { GroupRequest } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { Verdict } from '../model/verdict.ts'
import type { Work } from '../model/work.ts'
import { assertNever } from '../util/assert-never.ts'
import { Outbox } from '../util/outbox.ts'
import { admit, resolveKeyTeam, type AdmissionState } from './admission.ts'
import { chooseGroup } from './choose-group.ts'
import type { CallerRequest, FrontendEvent } from './event.ts'
import type { FrontendEffect } from './effect.ts'
import { computeNextSendAt, findWorkId, type PendingCaller } from './pending-caller.ts'

/** How long after a request's deadline the frontend still waits for the verdict of the group's owner. */
const DEADLINE_GRACE_MS = 2_000
/** How long the frontend waits for the acceptance of a job. */
const ACCEPTANCE_TIMEOUT_MS = 30_000
const REQUEST_TIMEOUT_MS = 5_000
const RETRY_AFTER_MS = 1_000

/** Limits of the frontend. */
export type FrontendOptions = {
  /** Number of groups of the cell. */
  readonly groups: number
  /** Maximum number of callers that wait at the same time. */
  readonly pendingLimit: number
  /** Part of `pendingLimit` that is reserved for urgent work. */
  readonly urgentReserve: number
}

type Owner = { readonly member: MemberId, readonly epoch: Epoch }
type SubmittedEvent = Extract<FrontendEvent, { type: 'caller-submitted' }>
type RequestedEvent = Extract<FrontendEvent, { type: 'caller-requested' }>
type ReceivedEvent = Extract<FrontendEvent, { type: 'message-received' }>

/**
 * Manages the waiting callers of one member: checks keys, chooses a group, sends the work to the group's owner and again
 * after a change of owner. Every caller gets exactly one response, and its verdict is correct. Does no I/O.
 */
export class Frontend {
  private readonly pending = new Map<string, PendingCaller>()
  private readonly owners = new Map<GroupNumber, Owner>()
  private readonly summaries = new Map<GroupNumber, GroupSummary>()
  private readonly outbox = Outbox.create<FrontendEffect>()
  private admission: AdmissionState = { configuration: EMPTY_CONFIGURATION, fresh: false, leaving: false }

  private constructor (private readonly options: FrontendOptions) {}

  /**
   * Creates a frontend without waiting callers.
   *
   * @example
   * Frontend.create({ groups: 8, pendingLimit: 10_000, urgentReserve: 1_000 })
   */
  static create (options: FrontendOptions): Frontend {
    return new Frontend(options)
  }

  /** Number of waiting callers. */
  get waitingCount (): number { return this.pending.size }

  /** Handles one event and returns its effects in order. */
  apply (event: FrontendEvent): readonly FrontendEffect[] {
    this.handle(event)
    return this.outbox.drain()
  }

  private handle (event: FrontendEvent): void {
    switch (event.type) {
      case 'tick': return this.tick(event.now)
      case 'caller-submitted': return this.handleSubmission(event)
      case 'caller-requested': return this.handleRequest(event)
      case 'caller-gone':
        this.pending.delete(event.nonce)
        return
      case 'message-received': return this.handleMessage(event)
      case 'owner-changed': return this.handleOwnerChange(event)
      case 'member-reachable': return this.resendToMember(event.now, event.member)
      case 'summaries-changed':
        for (const summary of event.summaries) this.summaries.set(summary.group, summary)
        return
      case 'configuration-applied':
        this.admission = { ...this.admission, configuration: event.configuration }
        return
      case 'freshness-changed':
        this.admission = { ...this.admission, fresh: event.fresh }
        return
      case 'leave-requested':
        this.admission = { ...this.admission, leaving: true }
        return
      default: return assertNever(event)
    }
  }

  private handleSubmission (event: SubmittedEvent): void {
    const { submission, nonce } = event
    const admitted = admit(this.admission, submission.queue, event.credential)
    if (admitted.isErr()) return this.refuseSubmission(nonce, admitted.error)
    const limit = this.options.pendingLimit - (submission.urgent ? 0 : this.options.urgentReserve)
    if (this.pending.size >= limit) return this.refuseSubmission(nonce, { reason: 'overloaded', retryAfterMs: RETRY_AFTER_MS })
    const { groups } = this.options
    const group = chooseGroup({ groups, suffix: event.suffix, hasIdempotencyKey: event.hasIdempotencyKey, wanted: submission.resources, summaries: this.summaries })
    const work = createWork(event, group, admitted.value)
    const expiresAt = work.kind === 'request' ? work.deadlineAt + DEADLINE_GRACE_MS : event.now + ACCEPTANCE_TIMEOUT_MS
    this.addPending(event.now, { nonce, group, content: { type: 'work', work }, expiresAt })
  }

  private handleRequest (event: RequestedEvent): void {
    const group = findRequestedGroup(event.request, this.options.groups)
    if (group === undefined) return this.refuseRequest(event.nonce, { reason: 'invalid', pointer: '/work', detail: 'no such id' })
    const request = this.authoriseRequest(event)
    if (request === undefined) return
    this.addPending(event.now, { nonce: event.nonce, group, content: { type: 'question', request }, expiresAt: event.now + REQUEST_TIMEOUT_MS })
  }

  private authoriseRequest (event: RequestedEvent): GroupRequest | undefined {
    const { request } = event
    if (request.type === 'overview') return { type: 'overview' }
    if (request.type === 'cancel-matching') return { type: 'cancel-matching', team: request.team, queue: request.queue }
    if (request.type !== 'cancel') return request
    if (request.operator) return { type: 'cancel', work: request.work }
    const team = resolveKeyTeam(this.admission, event.credential)
    if (team.isOk()) return { type: 'cancel', work: request.work, team: team.value }
    this.refuseRequest(event.nonce, team.error)
    return undefined
  }

  private addPending (now: number, entry: Pick<PendingCaller, 'nonce' | 'group' | 'content' | 'expiresAt'>): void {
    const pending: PendingCaller = { ...entry, sentEpoch: undefined, resumed: false, nextSendAt: now, resends: 0 }
    this.pending.set(entry.nonce, pending)
    this.send(now, pending)
  }

  private send (now: number, pending: PendingCaller): void {
    const owner = this.owners.get(pending.group)
    if (owner === undefined) return
    if (pending.sentEpoch !== undefined && pending.sentEpoch < owner.epoch) pending.resumed = true
    pending.sentEpoch = owner.epoch
    pending.nextSendAt = computeNextSendAt(pending.resends, now)
    pending.resends += 1
    this.outbox.push({ type: 'send', to: owner.member, message: createMessage(pending, owner.epoch) })
  }

  private tick (now: number): void {
    for (const pending of [...this.pending.values()]) {
      if (now >= pending.expiresAt) this.expire(pending)
      else if (now >= pending.nextSendAt) this.resend(now, pending)
    }
  }

  private resend (now: number, pending: PendingCaller): void {
    if (pending.sentEpoch !== undefined) this.outbox.push({ type: 'count', counter: 'resent', reason: pending.content.type })
    this.send(now, pending)
  }

  private expire (pending: PendingCaller): void {
    const verdict: Verdict = pending.sentEpoch === undefined ? 'not-run' : 'may-have-run'
    const refusal: Refusal = pending.sentEpoch === undefined
      ? { reason: 'no-owner', retryAfterMs: RETRY_AFTER_MS }
      : { reason: 'outcome-unknown', detail: 'the owner of the group did not respond in time' }
    if (pending.content.type === 'question') return this.refuseRequest(pending.nonce, refusal)
    this.pending.delete(pending.nonce)
    this.outbox.push(
      { type: 'count', counter: 'refused', reason: refusal.reason },
      { type: 'answer-caller', nonce: pending.nonce, work: findWorkId(pending), response: { type: 'refused', refusal, verdict } }
    )
  }

  private handleMessage (event: ReceivedEvent): void {
    const { message } = event
    const pending = this.pending.get(message.nonce)
    if (message.type === 'answer') {
      this.outbox.push({ type: 'send', to: event.from, message: { type: 'answer-received', work: message.work, nonce: message.nonce } })
      if (pending === undefined || findWorkId(pending) !== message.work) return this.countDroppedMessage('answer-without-caller')
      if (message.answer.type === 'refused' && message.epoch < (pending.sentEpoch ?? 0)) return this.countDroppedMessage('refusal-of-earlier-owner')
      this.pending.delete(message.nonce)
      this.outbox.push({ type: 'answer-caller', nonce: message.nonce, work: message.work, response: message.answer })
      return
    }
    if (pending === undefined || pending.content.type !== 'question') return this.countDroppedMessage('reply-without-caller')
    if (message.reply.type === 'not-owner') return
    this.pending.delete(message.nonce)
    this.outbox.push({ type: 'reply-caller', nonce: message.nonce, response: message.reply })
  }

  private handleOwnerChange (event: Extract<FrontendEvent, { type: 'owner-changed' }>): void {
    const known = this.owners.get(event.group)
    if (known !== undefined && known.epoch >= event.epoch) return
    this.owners.set(event.group, { member: event.owner, epoch: event.epoch })
    for (const pending of this.pending.values()) {
      if (pending.group !== event.group) continue
      pending.resends = 0
      this.send(event.now, pending)
    }
  }

  /** Resends all pending work and requests of an owner that is reachable again, without waiting for the resend delay. */
  private resendToMember (now: number, member: MemberId): void {
    for (const pending of this.pending.values()) {
      if (this.owners.get(pending.group)?.member !== member) continue
      pending.resends = 0
      this.resend(now, pending)
    }
  }

  private refuseSubmission (nonce: string, refusal: Refusal): void {
    this.outbox.push(
      { type: 'count', counter: 'refused', reason: refusal.reason },
      { type: 'answer-caller', nonce, work: undefined, response: { type: 'refused', refusal, verdict: 'not-run' } }
    )
  }

  private refuseRequest (nonce: string, refusal: Refusal): void {
    this.pending.delete(nonce)
    this.outbox.push({ type: 'count', counter: 'question-refused', reason: refusal.reason }, { type: 'refuse-request', nonce, refusal })
  }

  private countDroppedMessage (reason: string): void {
    this.outbox.push({ type: 'count', counter: 'message-dropped', reason })
  }
}

function createMessage (pending: PendingCaller, epoch: Epoch): CallerMessage {
  const { nonce, group, content, resumed } = pending
  if (content.type === 'work') return { type: 'submit', work: content.work, epoch, nonce, resumed }
  return { type: 'ask', nonce, group, question: content.request }
}

function createWork (event: SubmittedEvent, group: GroupNumber, team: string): Work {
  const { submission, now } = event
  const { kind, queue, count, family, resources, expectedMs, urgent, idempotent, payload, keyIssuedAt } = submission
  const id = `g${group}-${event.hasIdempotencyKey ? 'k' : 'n'}${event.suffix}`
  const details = { id, team, queue, family, resources, expectedMs, urgent, idempotent, submittedAt: now, keyIssuedAt, payload }
  return kind === 'request' ? { ...details, kind, deadlineAt: now + submission.timeoutMs } : { ...details, kind, count }
}

function findRequestedGroup (request: CallerRequest, groups: number): GroupNumber | undefined {
  if (request.type === 'overview' || request.type === 'cancel-matching') return request.group < groups ? request.group : undefined
  const group = parseGroupNumber(request.type === 'explain' ? parseWorkId(request.task) : request.work)
  return group !== undefined && group < groups ? group : undefined
}
