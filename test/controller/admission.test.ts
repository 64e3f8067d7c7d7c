import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Admission } from '../../src/controller/admission/admission.ts'
import type { Overload } from '../../src/workflow/advice/advice-backlog.ts'
import type { Step } from '../../src/workflow/job.ts'
import { buildJob } from '../workflow/harness.ts'

const OVERLOAD: Overload = { queue: 'stock', organisation: 'zuu', backlogMs: 6_000, ownMs: 6_000, share: 0.5, stepMs: 600, objective: { stretch: 2, latencyObjectiveMs: 1_000 } }

function createAdmission (overload: Partial<Overload>): Admission {
  return Admission.create({ getOverloads: () => [{ ...OVERLOAD, ...overload }], isLeaderFull: () => false, now: () => 0 })
}

type Case = { readonly guards: string, readonly overload?: Partial<Overload>, readonly step?: Partial<Step>, readonly expected: number | undefined }

// LOST: jobs were accepted and never started. What is refused has to be what would miss its objective, with a time that is true.
const submissions: readonly Case[] = [
  { guards: 'a job is accepted that would end after its objective', step: { estimatedMs: 3_000 }, expected: 3_200 },
  { guards: 'a job is refused whose objective leaves it the time', step: { estimatedMs: 6_000 }, expected: undefined },
  { guards: 'jobs with a late objective are accepted without limit', overload: { backlogMs: 30_000, ownMs: 30_000 }, step: { estimatedMs: 60_000 }, expected: 23_200 },
  { guards: 'a task that lasts is accepted that would wait long', step: { longRunning: true, estimatedMs: 60_000 }, expected: 4_200 },
  { guards: 'an organisation below its share is refused', overload: { backlogMs: 30_000, ownMs: 500 }, step: { estimatedMs: 3_000 }, expected: undefined },
  { guards: 'another queue is refused', overload: { queue: 'other' }, expected: undefined },
  { guards: 'another organisation is refused', overload: { organisation: 'other' }, expected: undefined }
]

for (const { guards, overload = {}, step = {}, expected } of submissions) {
  test(`admission: guards against the failure that ${guards}`, () => {
    assert.equal(createAdmission(overload).getRetryAfterMs(buildJob('a', step)), expected)
  })
}

// Told the same time, callers would come back together, and all but one of them would be refused again.
test('admission: guards against the failure that all callers that are refused come back at the same time', () => {
  const admission = createAdmission({})
  const times = ['a', 'b', 'c'].map((id) => admission.getRetryAfterMs(buildJob(id, { estimatedMs: 3_000 })))
  assert.deepEqual(times, [3_200, 3_800, 4_400])
})

test('admission: guards against the failure that a caller that comes back too early puts its own time off', () => {
  const admission = createAdmission({})
  const times = ['a', 'b', 'a', 'a', 'c'].map((id) => admission.getRetryAfterMs(buildJob(id, { estimatedMs: 3_000 })))
  assert.deepEqual(times, [3_200, 3_800, 3_200, 3_200, 4_400])
})

test('admission: guards against the failure that a job takes credit although it is refused', () => {
  let taken = 0
  const takeCredit = (): boolean => {
    taken += 1
    return taken <= 1
  }
  const refusing = Admission.create({ getOverloads: () => [], isLeaderFull: () => true, takeCredit })
  const accepting = Admission.create({ getOverloads: () => [], isLeaderFull: () => false, takeCredit })
  const times = [refusing, accepting, accepting].map((admission) => admission.getRetryAfterMs(buildJob('a', {})))
  assert.deepEqual([times, taken], [[5_000, undefined, 2_000], 2])
})

// Each leader in turn ended while it held, or restored, what had been accepted; the jobs were served by nobody.
test('admission: guards against the failure that a job is accepted which the leader cannot hold', () => {
  let isLeaderFull = true
  const admission = Admission.create({ getOverloads: () => [], isLeaderFull: () => isLeaderFull })
  assert.equal(admission.getRetryAfterMs(buildJob('a', {})), 5_000)
  isLeaderFull = false
  assert.equal(admission.getRetryAfterMs(buildJob('a', {})), undefined)
})
