import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { FrontendEffect } from '../../src/frontend/effect.ts'
import type { Credential, Submission } from '../../src/frontend/event.ts'
import { Frontend } from '../../src/frontend/frontend.ts'
import { EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import type { Configuration } from '../../src/model/configuration.ts'
import { NO_RESOURCES } from '../../src/model/resources.ts'
import type { SubmissionResponse } from '../../src/model/group-request.ts'

const KEY = { id: 'k1', team: 'alarms', salt: 's', hash: 'h' }
const CONFIGURATION: Configuration = {
  ...EMPTY_CONFIGURATION,
  revision: 1,
  queues: new Map([['dispatch', { name: 'dispatch', access: { type: 'team', team: 'alarms' } }], ['desk', { name: 'desk', access: { type: 'open', team: 'alarms' } }]]),
  keys: new Map([['k1', KEY], ['k2', { ...KEY, id: 'k2', team: 'reports' }]])
}
const VALID: Credential = { type: 'key', id: 'k1', hash: 'h' }
const SUBMISSION: Submission = { kind: 'request', queue: 'dispatch', count: 1, family: 'f', resources: { ...NO_RESOURCES, slots: 1 }, expectedMs: 0, urgent: false, idempotent: false, payload: null, timeoutMs: 10_000 }
const NOT_RUN: SubmissionResponse = { type: 'refused', refusal: { reason: 'deadline-unreachable', retryAfterMs: 0 }, verdict: 'not-run' }

function createFrontend (options: { readonly fresh?: boolean, readonly owner?: boolean } = {}): Frontend {
  const created = Frontend.create({ groups: 1, pendingLimit: 10, urgentReserve: 2 })
  created.apply({ type: 'configuration-applied', now: 0, configuration: CONFIGURATION })
  created.apply({ type: 'freshness-changed', now: 0, fresh: options.fresh ?? true })
  if (options.owner !== false) created.apply({ type: 'owner-changed', now: 0, group: 0, owner: 'm1', epoch: 1 })
  return created
}

function submit (target: Frontend, credential: Credential = VALID, submission: Submission = SUBMISSION, nonce = 'n1'): readonly FrontendEffect[] {
  return target.apply({ type: 'caller-submitted', now: 0, nonce, suffix: 's1', hasIdempotencyKey: false, credential, submission })
}

function formatResponses (effects: readonly FrontendEffect[]): readonly string[] {
  return effects.flatMap((effect) => effect.type !== 'answer-caller' ? [] : [effect.response.type === 'refused' ? `${effect.response.refusal.reason} ${effect.response.verdict}` : effect.response.type])
}

const admissions: readonly { readonly guards: string, readonly fresh?: boolean, readonly credential: Credential, readonly queue?: string, readonly expected: readonly string[] }[] = [
  { guards: 'a valid key is accepted', credential: VALID, expected: [] },
  { guards: 'work without a key is refused', credential: { type: 'none' }, expected: ['key-missing not-run'] },
  { guards: 'a withdrawn key is refused', credential: { ...VALID, id: 'gone' } as Credential, expected: ['key-rejected not-run'] },
  { guards: 'a key whose secret was replaced under the same id is refused', credential: { type: 'key', id: 'k1', hash: 'old' }, expected: ['key-rejected not-run'] },
  { guards: 'a key of another team is refused', credential: { type: 'key', id: 'k2', hash: 'h' }, expected: ['key-rejected not-run'] },
  { guards: 'an open queue needs no key', credential: { type: 'none' }, queue: 'desk', expected: [] },
  { guards: 'work with a team key is refused while the configuration is not fresh', fresh: false, credential: VALID, expected: ['configuration-not-fresh not-run'] },
  { guards: 'an unknown queue is refused', credential: VALID, queue: 'nowhere', expected: ['unknown-queue not-run'] }
]

for (const entry of admissions) {
  test(`frontend admission: ${entry.guards}`, () => {
    const effects = submit(createFrontend({ fresh: entry.fresh }), entry.credential, { ...SUBMISSION, queue: entry.queue ?? 'dispatch' })
    assert.deepEqual(formatResponses(effects), entry.expected)
    assert.equal(effects.some((effect) => effect.type === 'send'), entry.expected.length === 0)
  })
}

test('frontend: a change of owner sends waiting work to the new owner as resumed', () => {
  const target = createFrontend()
  submit(target)
  const effects = target.apply({ type: 'owner-changed', now: 10, group: 0, owner: 'm2', epoch: 2 })
  assert.deepEqual(effects.map((effect) => effect.type === 'send' && effect.message.type === 'submit' && [effect.to, effect.message.epoch, effect.message.resumed]), [['m2', 2, true]])
})

test('frontend: a refusal from a previous owner is not sent to the caller, because the new owner may run the work', () => {
  const target = createFrontend()
  submit(target)
  target.apply({ type: 'owner-changed', now: 10, group: 0, owner: 'm2', epoch: 2 })
  const late = target.apply({ type: 'message-received', now: 20, from: 'm1', message: { type: 'answer', work: 'g0-ns1', epoch: 1, nonce: 'n1', answer: NOT_RUN } })
  assert.deepEqual(formatResponses(late), [])
  const present = target.apply({ type: 'message-received', now: 30, from: 'm2', message: { type: 'answer', work: 'g0-ns1', epoch: 2, nonce: 'n1', answer: NOT_RUN } })
  assert.deepEqual(formatResponses(present), ['deadline-unreachable not-run'])
})

test('frontend: work that was sent to an unreachable owner is resent at once when the owner is reachable again', () => {
  const target = createFrontend()
  submit(target)
  for (const now of [1_000, 3_000, 7_000]) target.apply({ type: 'tick', now })
  const sends = (effects: readonly FrontendEffect[]): number => effects.filter((effect) => effect.type === 'send').length
  assert.equal(sends(target.apply({ type: 'member-reachable', now: 7_500, member: 'm2' })), 0)
  assert.equal(sends(target.apply({ type: 'member-reachable', now: 7_500, member: 'm1' })), 1)
})

test('frontend: a response with the nonce of another request reaches no caller', () => {
  const target = createFrontend()
  submit(target)
  const effects = target.apply({ type: 'message-received', now: 20, from: 'm1', message: { type: 'answer', work: 'g0-nother', epoch: 1, nonce: 'n1', answer: { type: 'succeeded', output: 1 } } })
  assert.deepEqual(formatResponses(effects), [])
})

const expiries = [
  { guards: 'work that was never sent is reported as not run', owner: false, expected: ['no-owner not-run'] },
  { guards: 'work that was sent to an unresponsive owner is reported as possibly run', owner: true, expected: ['outcome-unknown may-have-run'] }
]

for (const entry of expiries) {
  test(`frontend expiry: ${entry.guards}`, () => {
    const target = createFrontend({ owner: entry.owner })
    submit(target)
    assert.deepEqual(formatResponses(target.apply({ type: 'tick', now: 12_001 })), entry.expected)
  })
}

test('frontend: the capacity reserved for urgent work stays free when other callers fill the member', () => {
  const target = createFrontend()
  const outcomes = Array.from({ length: 9 }, (_, index) => formatResponses(submit(target, VALID, SUBMISSION, `n${index}`)))
  assert.deepEqual(outcomes.flat(), ['overloaded not-run'])
  assert.deepEqual(formatResponses(submit(target, VALID, { ...SUBMISSION, urgent: true }, 'urgent')), [])
})
