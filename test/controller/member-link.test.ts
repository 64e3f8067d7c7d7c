import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberCallClient } from '../../src/adapters/grpc-member-calls.ts'
import type { Controller } from '../../src/controller/controller.ts'
import type { Leadership } from '../../src/controller/leadership.ts'
import type { MemberResponse, MemberCall, MemberCallFailure } from '../../src/controller/member-call.ts'
import { MemberLink } from '../../src/controller/member-link.ts'
import { AdviceCache } from '../../src/controller/advice-cache.ts'

type Answer = Result<MemberResponse, MemberCallFailure>

const NOTED: Answer = ok({ type: 'noted' })
const LEADER = { member: 'm2', address: 'm2:1', term: 1, nonce: 'n' }

/** A link of a member that does not lead; the leader's answers are given. */
function linkWith (answers: readonly Answer[], leaders: ReadonlyArray<typeof LEADER | undefined> = [LEADER], controller?: Controller): { readonly link: MemberLink, readonly told: string[] } {
  const told: string[] = []
  const calls = {
    call: async (address: string, call: MemberCall) => {
      told.push(`${call.type} ${address}`)
      return answers[Math.min(told.length, answers.length) - 1]!
    },
    close: () => {}
  }
  let asked = 0
  const link = MemberLink.create({
    self: { member: 'm1', address: 'm1:1' },
    calls: calls as unknown as MemberCallClient,
    advisor: AdviceCache.create({ advise: async () => ({ type: 'failed', reason: 'none' }) }),
    report: { log: () => {}, count: () => {}, observe: () => {} },
    probe: async () => 'listening',
    leadership: () => ({ leader: leaders[Math.min(asked++, leaders.length - 1)] }) as unknown as Leadership,
    controller: () => controller
  })
  return { link, told }
}

const tellings: ReadonlyArray<{ readonly guards: string, readonly answers: readonly Answer[], readonly leaders?: ReadonlyArray<typeof LEADER | undefined>, readonly told: number }> = [
  { guards: 'told once when the leader notes it', answers: [NOTED], told: 1 },
  { guards: 'told again when the leader does not answer', answers: [err({ reason: 'timeout' }), NOTED], told: 2 },
  { guards: 'told again when the member asked has not read the store yet', answers: [ok({ type: 'not-leading' }), NOTED], told: 2 },
  { guards: 'kept until a leader is known', answers: [NOTED], leaders: [undefined, LEADER], told: 1 }
]

for (const { guards, answers, leaders, told: times } of tellings) {
  test(`member link: a cancelling is ${guards}`, async () => {
    const { link, told } = linkWith(answers, leaders)
    link.tellLeader({ type: 'cancel-stored', id: 'a' })
    await wait(500)
    link.stop()
    assert.equal(told.length, times)
  })
}

test('member link: a controller that has not read the store does not note a cancelling', async () => {
  const restoring = { cancel: () => false } as unknown as Controller
  const { link } = linkWith([], [undefined], restoring)
  assert.deepEqual(await link.answer({ type: 'cancel-stored', id: 'a' }), { type: 'not-leading' })
})

const counts: ReadonlyArray<{ readonly guards: string, readonly waiting: Readonly<Record<string, number>> | undefined, readonly expected: number | undefined }> = [
  { guards: 'the count that the leader told', waiting: { stock: 3 }, expected: 3 },
  { guards: 'none for a queue of which the leader told nothing', waiting: {}, expected: 0 },
  { guards: 'unknown, not 0, while the new leader reads the store', waiting: undefined, expected: undefined }
]

for (const { guards, waiting, expected } of counts) {
  test(`member link: the number of waiting jobs is ${guards}`, async () => {
    const { link } = linkWith([ok({ type: 'welcome', peers: [], waiting })])
    assert.equal(link.waitingOf('stock'), undefined, 'nothing has been told yet')
    await link.sayHello()
    assert.equal(link.waitingOf('stock'), expected)
  })
}
