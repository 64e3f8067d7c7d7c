import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberCallClient } from '../../src/adapters/grpc-member-calls.ts'
import type { Controller } from '../../src/controller/controller.ts'
import type { Leadership } from '../../src/controller/leadership/leadership.ts'
import type { MemberResponse, MemberCall, MemberCallFailure } from '../../src/controller/member-call.ts'
import { MemberLink } from '../../src/controller/member-link.ts'
import { AdviceCache } from '../../src/controller/advice/advice-cache.ts'
import type { CompletionForecast } from '../../src/workflow/forecast/completion-forecast.ts'

type CallResult = Result<MemberResponse, MemberCallFailure>

const NOTED_RESPONSE: CallResult = ok({ type: 'noted' })
const LEADER = { member: 'm2', address: 'm2:1', term: 1, nonce: 'n' }

/** Creates the link of a member that receives the given responses to its calls, the last one repeatedly. */
function createLink (responses: readonly CallResult[], leaders: ReadonlyArray<typeof LEADER | undefined> = [LEADER], controller?: Controller): { readonly link: MemberLink, readonly sentCalls: string[] } {
  const sentCalls: string[] = []
  const client = {
    call: async (address: string, call: MemberCall) => {
      sentCalls.push(`${call.type} ${address}`)
      return responses[Math.min(sentCalls.length, responses.length) - 1]!
    },
    close: () => {}
  }
  let leaderReads = 0
  const link = MemberLink.create({
    self: { member: 'm1', address: 'm1:1' },
    client: client as unknown as MemberCallClient,
    advisor: AdviceCache.create({ advise: async () => ({ type: 'failed', reason: 'none' }) }),
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    probe: async () => 'listening',
    getLeadership: () => ({ leader: leaders[Math.min(leaderReads++, leaders.length - 1)] }) as unknown as Leadership,
    getController: () => controller
  })
  return { link, sentCalls }
}

const announcements: ReadonlyArray<{ readonly guards: string, readonly responses: readonly CallResult[], readonly leaders?: ReadonlyArray<typeof LEADER | undefined>, readonly expectedCalls: number }> = [
  { guards: 'announced once when the leader applies it', responses: [NOTED_RESPONSE], expectedCalls: 1 },
  { guards: 'announced again when the leader does not respond', responses: [err({ reason: 'timeout' }), NOTED_RESPONSE], expectedCalls: 2 },
  { guards: 'announced again when the called member has not read the store yet', responses: [ok({ type: 'not-leading' }), NOTED_RESPONSE], expectedCalls: 2 },
  { guards: 'kept until a leader is known and then announced', responses: [NOTED_RESPONSE], leaders: [undefined, LEADER], expectedCalls: 1 }
]

for (const { guards, responses, leaders, expectedCalls } of announcements) {
  test(`member link: a cancellation is ${guards}`, async () => {
    const { link, sentCalls } = createLink(responses, leaders)
    link.announce({ type: 'cancel-stored', id: 'a' })
    await wait(500)
    link.stop()
    assert.equal(sentCalls.length, expectedCalls)
  })
}

test('member link: a cancellation is not acknowledged by a controller that has not read the store', async () => {
  const restoring = { cancelJob: () => false } as unknown as Controller
  const { link } = createLink([], [undefined], restoring)
  assert.deepEqual(await link.handleCall({ type: 'cancel-stored', id: 'a' }), { type: 'not-leading' })
})

const counts: ReadonlyArray<{ readonly guards: string, readonly waiting: Readonly<Record<string, number>> | undefined, readonly expected: number | undefined }> = [
  { guards: 'the count that the leader sent', waiting: { stock: 3 }, expected: 3 },
  { guards: '0 for a queue for which the leader sent no count', waiting: {}, expected: 0 },
  { guards: 'unknown, not 0, while the new leader reads the store', waiting: undefined, expected: undefined }
]

for (const { guards, waiting, expected } of counts) {
  test(`member link: the number of waiting jobs is ${guards}`, async () => {
    const { link } = createLink([ok({ type: 'welcome', peers: [], waiting })])
    assert.equal(link.getWaitingCount('stock'), undefined, 'no count has been received yet')
    await link.sendHello()
    assert.equal(link.getWaitingCount('stock'), expected)
  })
}

const malformedAnswers: ReadonlyArray<{ readonly name: string, readonly answer: unknown }> = [
  { name: 'none', answer: undefined },
  { name: 'null', answer: null },
  { name: 'tickets missing', answer: { type: 'advised' } },
  { name: 'a ticket without a target', answer: { type: 'advised', tickets: [{ ticket: 'x' }] } }
]

for (const { name, answer } of malformedAnswers) {
  // An answer of another release, or a damaged one, ended the process of the leader.
  test(`member link: guards against the failure that a malformed answer for the advisor reaches the scheduler: ${name}`, async () => {
    const { link } = createLink([ok({ type: 'advice', answer } as unknown as MemberResponse)])
    assert.deepEqual(await link.requestAdvice({ member: 'm3', address: 'm3:1' }, 'job.0.0', ['t0'], 100), { type: 'failed', reason: 'no-advice' })
  })
}

const FORECAST: CompletionForecast = { queue: 'stock', organisation: 'zuu', cause: 'room', waitMs: 9_000, rate: { cpuMillis: 1_000, memoryMiB: 0, accelerators: 0 }, members: 3, objective: { stretch: 2, latencyObjectiveMs: 500 } }

const forecasts: ReadonlyArray<{ readonly guards: string, readonly forecasts?: unknown, readonly ageMs?: number, readonly expected: readonly CompletionForecast[] }> = [
  { guards: 'the forecasts of the leader are not used', forecasts: [FORECAST], expected: [FORECAST] },
  { guards: 'jobs are refused for an old forecast', forecasts: [FORECAST], ageMs: 2_100, expected: [] },
  { guards: 'a leader of the previous release, which sends no forecast, ends the hellos', expected: [] },
  { guards: 'a damaged forecast is used, or takes the others with it', forecasts: [{ ...FORECAST, waitMs: null }, null, FORECAST], expected: [FORECAST] },
  { guards: 'a list of another form ends the hellos', forecasts: { stock: 1 }, expected: [] }
]

for (const { guards, forecasts: sent, ageMs = 0, expected } of forecasts) {
  test(`member link: guards against the failure that ${guards}`, async (context) => {
    const { link } = createLink([ok({ type: 'welcome', peers: [], waiting: { stock: 3 }, ...sent !== undefined && { forecasts: sent } } as unknown as MemberResponse)])
    assert.deepEqual(link.getForecasts(), [], 'without a leader')
    await link.sendHello()
    const receivedAt = performance.now()
    context.mock.method(performance, 'now', () => receivedAt + ageMs)
    assert.deepEqual(link.getForecasts(), expected)
    if (ageMs === 0) assert.equal(link.getWaitingCount('stock'), 3)
  })
}
