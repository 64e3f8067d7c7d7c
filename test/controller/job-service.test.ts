import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import { JobService } from '../../src/controller/job-service.ts'
import { cancelKey, jobKey, progressKey } from '../../src/controller/records/store-keys.ts'
import type { Store } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { buildJob } from '../workflow/harness.ts'

const ID = '00000000000000a1'
const DEFINITION = buildJob(ID, {})
const COMPLETED = JSON.stringify({ phase: 'completed', nextOccurrence: 1, open: {} })

function createJobService (puts: ReadonlyArray<{ readonly key: string, readonly value: string }>, lostResponses = 0, retryAfterMs?: number): { readonly jobService: JobService, readonly has: (key: string) => boolean } {
  const inner = InMemoryStore.create()
  if (puts.length > 0) inner.call(0, { type: 'transact', compares: [], puts, deletes: [] })
  let lost = 0
  const store: Store = {
    call: async (call) => {
      const answer = inner.call(0, call)
      assert.notEqual(answer, 'waiting')
      if (call.type === 'transact' && lost < lostResponses) {
        lost += 1
        return err({ reason: 'timeout', verdict: 'may-have-applied' })
      }
      return ok(answer as Exclude<typeof answer, 'waiting'>)
    }
  }
  const jobService = JobService.create({
    store,
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    isStoreResponsive: () => true,
    getRetryAfterMs: () => retryAfterMs,
    requestPhase: async () => undefined,
    announceJob: () => {},
    announceCancellation: () => {}
  })
  const has = (key: string): boolean => {
    const answer = inner.call(0, { type: 'read', prefix: key })
    return answer !== 'waiting' && answer.type === 'read' && answer.entries.some((entry) => entry.key === key)
  }
  return { jobService, has }
}

const submissions = [
  { guards: 'a new job is stored', puts: [], alreadyStored: false, stored: true },
  { guards: 'a job that is submitted again is not stored twice', puts: [{ key: jobKey(ID), value: JSON.stringify(DEFINITION) }], alreadyStored: true, stored: true },
  { guards: 'a job that is submitted again after it has completed is not run a second time', puts: [{ key: progressKey(ID), value: COMPLETED }], alreadyStored: true, stored: false }
]

for (const { guards, puts, alreadyStored, stored } of submissions) {
  test(`job service: ${guards}`, async () => {
    const { jobService, has } = createJobService(puts)
    assert.deepEqual(await jobService.submit(DEFINITION, performance.now() + 1_000), { type: 'accepted', alreadyStored })
    assert.equal(has(jobKey(ID)), stored)
  })
}

// A body may have 262,144 bytes, and what is stored of it ten times as many: callers were told again and again to come back.
test('job service: guards against the failure that a job that can never be stored is refused as if it could be later', async () => {
  const { jobService, has } = createJobService([])
  const definition = buildJob(ID, ...Array.from({ length: 5_000 }, () => ({})))
  assert.equal((await jobService.submit(definition, performance.now() + 1_000)).type, 'too-large')
  assert.equal(has(jobKey(ID)), false)
})

const RETRY_AFTER_MS = 4_200

// REFUSED: a caller that is told that its job has not run and never will must be able to rely on it.
const refusals = [
  { guards: 'a job that can\'t be started in time is stored', puts: [], expected: { type: 'refused', reason: 'overloaded', retryAfterMs: RETRY_AFTER_MS }, stored: false },
  { guards: 'a job is refused that an earlier submission has stored', puts: [{ key: jobKey(ID), value: JSON.stringify(DEFINITION) }], expected: { type: 'accepted', alreadyStored: true }, stored: true },
  { guards: 'a job is refused that has completed', puts: [{ key: progressKey(ID), value: COMPLETED }], expected: { type: 'accepted', alreadyStored: true }, stored: false }
]

for (const { guards, puts, expected, stored } of refusals) {
  test(`job service: guards against the failure that ${guards}`, async () => {
    const { jobService, has } = createJobService(puts, 0, RETRY_AFTER_MS)
    assert.deepEqual(await jobService.submit(DEFINITION, performance.now() + 1_000), expected)
    assert.equal(has(jobKey(ID)), stored)
  })
}

type StoreBehaviour = 'responds' | 'loses-responses' | 'refuses' | 'overloaded'

/** A service whose store can be made to behave in another way; `overloaded`: no job is welcome. */
function createTroubledService (): { readonly jobService: JobService, readonly has: (key: string) => boolean, readonly setBehaviour: (behaviour: StoreBehaviour, responsive?: boolean) => void, readonly countCalls: () => number } {
  const inner = InMemoryStore.create()
  let behaviour: StoreBehaviour = 'responds'
  let isResponsive = true
  let calls = 0
  const store: Store = {
    call: async (call) => {
      calls += 1
      if (behaviour === 'refuses') return err({ reason: 'unavailable', verdict: 'not-applied' })
      const answer = inner.call(0, call)
      assert.notEqual(answer, 'waiting')
      if (behaviour === 'loses-responses') return err({ reason: 'timeout', verdict: 'may-have-applied' })
      return ok(answer as Exclude<typeof answer, 'waiting'>)
    }
  }
  const jobService = JobService.create({
    store,
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    isStoreResponsive: () => isResponsive,
    getRetryAfterMs: () => behaviour === 'overloaded' ? RETRY_AFTER_MS : undefined,
    requestPhase: async () => undefined,
    announceJob: () => {},
    announceCancellation: () => {}
  })
  const has = (key: string): boolean => {
    const answer = inner.call(0, { type: 'read', prefix: key })
    return answer !== 'waiting' && answer.type === 'read' && answer.entries.some((entry) => entry.key === key)
  }
  const setBehaviour = (next: StoreBehaviour, responsive = true): void => {
    behaviour = next
    isResponsive = responsive
  }
  return { jobService, has, setBehaviour, countCalls: () => calls }
}

const repetitions = [
  { guards: 'its response was lost, and the store is silent', first: 'loses-responses', then: 'responds', responsive: false, expected: { type: 'unknown', reason: 'store-silent' }, calls: 0 },
  { guards: 'its response was lost, and the store refuses calls', first: 'loses-responses', then: 'refuses', responsive: true, expected: { type: 'unknown', reason: 'unavailable' }, calls: 1 },
  { guards: 'its response was lost, and jobs are refused for overload', first: 'loses-responses', then: 'overloaded', responsive: true, expected: { type: 'accepted', alreadyStored: true }, calls: 1 },
  { guards: 'it was accepted without its caller hearing of it, and the store is silent', first: 'responds', then: 'responds', responsive: false, expected: { type: 'accepted', alreadyStored: true }, calls: 0 },
  { guards: 'it was accepted without its caller hearing of it, and the store refuses calls', first: 'responds', then: 'refuses', responsive: true, expected: { type: 'accepted', alreadyStored: true }, calls: 1 }
] as const

for (const { guards, first, then, responsive, expected, calls } of repetitions) {
  // REFUSED: the second submission was answered with 503, "never runs", and the job of the first one ran.
  test(`job service: guards against the failure that a submission is refused although an earlier one may be stored: ${guards}`, async () => {
    const { jobService, has, setBehaviour, countCalls } = createTroubledService()
    setBehaviour(first)
    await jobService.submit(DEFINITION, performance.now())
    assert.ok(has(jobKey(ID)))
    setBehaviour(then, responsive)
    const callsBefore = countCalls()
    assert.deepEqual(await jobService.submit(DEFINITION, performance.now() + 1_000), expected)
    assert.equal(countCalls() - callsBefore, calls)
  })
}

// REFUSED: the caller was told that its job never runs while the first submission was being stored.
test('job service: guards against the failure that a submission is refused while an earlier one is being stored', async () => {
  const { jobService, setBehaviour } = createTroubledService()
  const first = jobService.submit(DEFINITION, performance.now() + 1_000)
  setBehaviour('responds', false)
  assert.deepEqual(await jobService.submit(DEFINITION, performance.now() + 1_000), { type: 'unknown', reason: 'store-silent' })
  assert.deepEqual(await first, { type: 'accepted', alreadyStored: false })
})

const refusedBefore = [
  { guards: 'was never submitted here', first: undefined },
  { guards: 'was refused before it was stored', first: 'refuses' }
] as const

for (const { guards, first } of refusedBefore) {
  test(`job service: a job that ${guards} is refused without a call while the store is silent`, async () => {
    const { jobService, setBehaviour, countCalls } = createTroubledService()
    if (first !== undefined) {
      setBehaviour(first)
      assert.equal((await jobService.submit(DEFINITION, performance.now())).type, 'refused')
    }
    setBehaviour('responds', false)
    const callsBefore = countCalls()
    assert.deepEqual(await jobService.submit(DEFINITION, performance.now() + 1_000), { type: 'refused', reason: 'store-silent' })
    assert.equal(countCalls(), callsBefore)
  })
}

const lookups = [
  { guards: 'a job without a progress record', puts: [{ key: jobKey(ID), value: JSON.stringify(DEFINITION) }], phase: 'queued', cancelled: 'cancelled' },
  { guards: 'a job that has ended and whose definition is deleted', puts: [{ key: progressKey(ID), value: COMPLETED }], phase: 'completed', cancelled: 'completed' },
  { guards: 'a job that was never submitted', puts: [], phase: undefined, cancelled: undefined }
] as const

for (const { guards, puts, phase, cancelled } of lookups) {
  test(`job service: without the leader, ${guards} is looked up and cancelled according to the store`, async () => {
    const { jobService, has } = createJobService(puts)
    assert.deepEqual(await jobService.getPhase(ID), phase === undefined ? { type: 'absent' } : { type: 'found', phase })
    assert.deepEqual(await jobService.cancel(ID, performance.now() + 1_000), cancelled === undefined ? { type: 'absent' } : { type: 'found', phase: cancelled })
    assert.equal(has(cancelKey(ID)), cancelled === 'cancelled')
  })
}

const lostCancellations = [
  { guards: 'is answered once it is stored', lostResponses: 1, outcome: { type: 'found', phase: 'cancelled' } },
  { guards: 'is not reported as without effect', lostResponses: Infinity, outcome: { type: 'unknown', reason: 'timeout' } }
] as const

for (const { guards, lostResponses, outcome } of lostCancellations) {
  // The store applied a cancellation and its response was lost: the caller was told that nothing had been done.
  test(`job service: guards against the failure that a cancellation whose response was lost is refused: it ${guards}`, async () => {
    const { jobService, has } = createJobService([{ key: jobKey(ID), value: JSON.stringify(DEFINITION) }], lostResponses)
    assert.deepEqual(await jobService.cancel(ID, performance.now() + 300), outcome)
    assert.ok(has(cancelKey(ID)))
  })
}

// Keys of the store have at most 200 bytes; the longest key of a job is that of its cancellation.
test('job service: guards against the failure that a job is accepted whose progress or cancellation can never be stored', async () => {
  const { jobService, has } = createJobService([])
  const longest = 'a'.repeat(200 - cancelKey('').length)
  for (const [id, stored] of [[longest, true], [`${longest}b`, false]] as const) {
    const { type } = await jobService.submit({ ...DEFINITION, id }, performance.now() + 1_000)
    assert.deepEqual([type, has(jobKey(id))], [stored ? 'accepted' : 'refused', stored])
  }
})
