import type { AdviceResponse, CachedAdvice } from '../ports/command-client.ts'
import type { JobDefinition } from '../workflow/job.ts'
import type { StandDown } from './leadership/leadership.ts'
import type { MemberResponse, Peer } from './member-call.ts'
import { isJobDefinition, isJobSettings } from './records/record-guards.ts'

type Fields = Readonly<Record<string, unknown>>

/** Whether a value that a member has sent has the name and the address of a member. */
export function isPeer (value: unknown): value is Peer {
  return isObject(value) && isText(value.member) && isText(value.address)
}

/** Whether a value that a member has sent has all that the scheduler reads of a job's definition. */
export function isAnnouncedJob (value: unknown): value is JobDefinition {
  return isJobDefinition(value) && (value.settings === undefined || isJobSettings(value.settings))
}

/** Whether a value is the leader's response to a hello. */
export function isWelcome (value: unknown): value is Extract<MemberResponse, { type: 'welcome' }> {
  return isObject(value) && value.type === 'welcome' && isListOf(value.peers, isPeer) &&
    (value.waiting === undefined || isObject(value.waiting)) && (value.overloads === undefined || isListOf(value.overloads, isObject)) &&
    [value.isFull, value.isFullForAll].every((isFull) => isFull === undefined || typeof isFull === 'boolean') &&
    (value.largeJobBytes === undefined || Number.isFinite(value.largeJobBytes))
}

/** Whether a value is a response to the leader of a later term that tells for how long no commands have been sent. */
export function isStandDown (value: unknown): value is StandDown {
  return isObject(value) && Number.isFinite(value.quietForMs) && Number(value.quietForMs) >= 0
}

/** Whether a value is the number of a term. */
export function isTermNumber (value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) > 0
}

/** Whether a value is a response of the advisor, or says why there is none. */
export function isAdviceResponse (value: unknown): value is AdviceResponse {
  if (!isObject(value)) return false
  return value.type === 'failed' || (value.type === 'advised' && isListOf(value.tickets, isTicket))
}

/** Whether a value is a response of the advisor that a member has cached. */
export function isCachedAdvice (value: unknown): value is CachedAdvice {
  return isObject(value) && isText(value.step) && isListOf(value.asked, isText) && isListOf(value.tickets, isTicket) && Number.isFinite(value.validForMs)
}

function isTicket (value: unknown): boolean {
  return isObject(value) && isText(value.target) && typeof value.ticket === 'string'
}

function isListOf (value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem)
}

function isText (value: unknown): value is string {
  return typeof value === 'string' && value !== ''
}

function isObject (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
