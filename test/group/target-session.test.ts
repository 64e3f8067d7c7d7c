import assert from 'node:assert/strict'
import { test } from 'node:test'
import { NO_RESOURCES } from '../../src/model/resources.ts'
import type { TargetFailure } from '../../src/ports/target-client.ts'
import { TargetSession } from '../../src/group/target-session.ts'
import { DEFAULT_GROUP_TIMING } from '../../src/group/timing.ts'

const TARGET = { id: 't1', host: 'h1', address: 'http://127.0.0.1:1', failureDomain: 'bole', rack: 'r', capacity: NO_RESOURCES, state: 'live' as const }
const LISTING = { type: 'adopt' as const, running: [], ended: [], sequence: 4, upMs: 0, capacity: NO_RESOURCES }
const AMBIGUOUS: TargetFailure = { reason: 'timeout', verdict: 'may-have-run' }
const REFUSED: TargetFailure = { reason: 'unavailable', verdict: 'not-run' }
const LEASE_LAPSE_MS = DEFAULT_GROUP_TIMING.taskLeaseMs + DEFAULT_GROUP_TIMING.transitMs + DEFAULT_GROUP_TIMING.clockMarginMs

function createAdoptedSession (): TargetSession {
  const session = TargetSession.create({ target: TARGET, group: 0, epoch: 1, timing: DEFAULT_GROUP_TIMING, now: 0 })
  session.nextCall(0)
  session.recordAdoption(0, LISTING)
  return session
}

/**
 * Fails every call with `failure` until the target is declared lost, for at most 120 s; returns when the last call was sent
 * and when the loss was declared.
 */
function failUntilLost (session: TargetSession, failure: TargetFailure): { readonly lastSentAt: number, readonly lostAt: number } {
  let lastSentAt = 0
  for (let now = 100; now < 120_000; now += 100) {
    if (session.expireIfLapsed(now)) return { lastSentAt, lostAt: now }
    if (session.nextCall(now) === undefined) continue
    lastSentAt = now
    session.recordFailure(now, failure)
  }
  return { lastSentAt, lostAt: Infinity }
}

const renewalFailures = [
  { title: 'calls without a response do not extend the lease indefinitely', failure: AMBIGUOUS, lost: true },
  { title: 'a target whose process has ended still gets calls and is not declared lost too early', failure: REFUSED, lost: false }
]

for (const { title, failure, lost } of renewalFailures) {
  test(`target session: ${title}`, () => {
    const { lastSentAt, lostAt } = failUntilLost(createAdoptedSession(), failure)
    if (lost) assert.ok(lostAt - lastSentAt >= LEASE_LAPSE_MS && lastSentAt <= DEFAULT_GROUP_TIMING.renewalGraceMs + 200)
    else assert.ok(lostAt - lastSentAt >= LEASE_LAPSE_MS || lostAt === Infinity)
  })
}

test('target session: an invalid lease number leads to an adoption with a higher one', () => {
  const session = createAdoptedSession()
  const leaseBefore = session.leaseNumber
  session.nextCall(100)
  session.recordFailure(100, { reason: 'unknown-lease', verdict: 'not-run' })
  const call = session.nextCall(200)
  assert.ok(call?.type === 'adopt' && call.lease > leaseBefore)
})

test('target session: an acknowledgement is repeated until a sync that contains it gets a response', () => {
  const session = createAdoptedSession()
  session.acknowledge({ taskId: 'g0-a/0', attempt: 1 })
  const lostCall = session.nextCall(100)
  session.recordFailure(100, AMBIGUOUS)
  const repeatedCall = session.nextCall(1_000)
  assert.ok(lostCall?.type === 'sync' && repeatedCall?.type === 'sync')
  assert.deepEqual(repeatedCall.acknowledged, lostCall.acknowledged)
  session.recordSync(1_000, { type: 'sync', ended: [], sequence: 4, usage: [], running: 0 }, repeatedCall.acknowledged)
  const next = session.nextCall(1_001)
  assert.deepEqual(next?.type === 'sync' && next.acknowledged, [])
})
