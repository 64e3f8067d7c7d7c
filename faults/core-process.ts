import { createHash } from 'node:crypto'
import type { Effect } from '../src/core/effect.ts'
import type { Event } from '../src/core/event.ts'
import { Member } from '../src/core/member.ts'
import type { PublishOutcome } from '../src/cluster/effect.ts'
import type { Credential } from '../src/frontend/event.ts'
import { assertNever } from '../src/util/assert-never.ts'
import type { PublicationOutcome } from './history.ts'
import type { CallerRequest } from './member-access.ts'
import type { MemberInput, MemberOutput, MemberProcess, MemberProcessOptions } from './member-process.ts'
import { GROUPS, MEMBERS } from './scenario.ts'

const PENDING_LIMIT = 10_000
const URGENT_RESERVE = 1_000
/** Hash of every key of the scenario. */
const KEY_HASH = '00'

/**
 * Creates a member process around the real reducer, with those parts of the API and of the runtime that do no I/O.
 *
 * @example
 * createCoreProcess(options).apply(now, { type: 'tick' })
 */
export function createCoreProcess (options: MemberProcessOptions): MemberProcess {
  const { id, incarnation, failureDomain, seed } = options
  const member = Member.create({
    member: id,
    incarnation,
    address: getAddress(id),
    failureDomain,
    seedPeers: MEMBERS.filter((other) => other !== id).map((other) => ({ id: other, address: getAddress(other) })),
    groups: GROUPS,
    seed,
    pendingLimit: PENDING_LIMIT,
    urgentReserve: URGENT_RESERVE
  })
  return {
    apply: (now, input) => member.apply(toEvent(member, now, input)).flatMap((effect) => toOutputs(member, now, effect)),
    configuration: () => member.configuration,
    isFresh: (now) => member.isReady(now),
    incarnation: () => member.incarnation
  }
}

function getAddress (id: string): string {
  return `address-of-${id}`
}

function toEvent (member: Member, now: number, input: MemberInput): Event {
  switch (input.type) {
    case 'caller-submitted': return createSubmittedEvent(member, now, input.exchangeId, input.request)
    case 'caller-cancelled': return { type: 'caller-requested', now, nonce: input.exchangeId, credential: createCredential(input.key), request: { type: 'cancel', work: input.work, operator: false } }
    case 'publish-requested': return { type: 'publish-requested', now, requestId: input.exchangeId, author: input.author, changes: input.changes }
    default: return { ...input, now }
  }
}

function createSubmittedEvent (member: Member, now: number, nonce: string, request: CallerRequest): Event {
  const { submission, key, idempotencyKey } = request
  const team = key === undefined ? submission.queue : member.configuration.keys.get(key)?.team
  const suffix = createHash('sha256').update(idempotencyKey === undefined ? nonce : `${team}/${idempotencyKey}`).digest('hex').slice(0, 24)
  return { type: 'caller-submitted', now, nonce, suffix, hasIdempotencyKey: idempotencyKey !== undefined, credential: createCredential(key), submission }
}

function createCredential (key: string | undefined): Credential {
  return key === undefined ? { type: 'none' } : { type: 'key', id: key, hash: KEY_HASH }
}

/** Converts an effect to outputs. As in the runtime, target calls are sent only while the member may act. */
function toOutputs (member: Member, now: number, effect: Effect): readonly MemberOutput[] {
  switch (effect.type) {
    case 'store-call':
    case 'read-host-list':
    case 'left':
      return [effect]
    case 'peer-send': return [{ type: 'peer-send', to: effect.to, message: effect.message }]
    case 'target-call': return member.mayAct(effect.call.group, now) ? [effect] : []
    case 'answer-caller': return [{ type: 'caller-answer', exchangeId: effect.nonce, answer: effect.response }]
    case 'reply-caller': return [{ type: 'cancel-reply', exchangeId: effect.nonce, reply: effect.response }]
    case 'refuse-request': return [{ type: 'cancel-reply', exchangeId: effect.nonce, reply: effect.refusal }]
    case 'publish-answered': return [{ type: 'publish-answer', exchangeId: effect.requestId, answer: toPublicationOutcome(effect.outcome) }]
    case 'count':
    case 'log':
      return []
    default: return assertNever(effect)
  }
}

function toPublicationOutcome (outcome: PublishOutcome): PublicationOutcome {
  switch (outcome.type) {
    case 'accepted': return { type: 'accepted', revision: outcome.revision }
    case 'conflict':
    case 'invalid':
      return { type: 'rejected' }
    case 'unavailable': return outcome.verdict === 'not-applied' ? { type: 'rejected' } : { type: 'unknown' }
    default: return assertNever(outcome)
  }
}
