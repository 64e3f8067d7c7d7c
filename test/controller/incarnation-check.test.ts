import assert from 'node:assert/strict'
import { test } from 'node:test'
import { IncarnationCheck } from '../../src/controller/incarnation-check.ts'
import type { CommandClient, ListResponse } from '../../src/ports/command-client.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import { createHarnessWithTarget } from '../workflow/harness.ts'

const OLD = 1
const NEXT = 2
const TARGET = { id: 't1', address: 'a:1', incarnation: OLD }
const START = { task: 'a.0.0.0', run: 1, payload: 'p', leaseUntilMs: 400_000, epoch: 3, checkpoint: '', ticket: undefined }
const LIST = { epoch: 3, acknowledged: 0, leaseUntilMs: undefined, waitMs: 1_000 }

/** A target behind the check, and the clocks of its process. */
type Setup = { readonly check: IncarnationCheck, readonly sent: string[], readonly clock: { monotonicMs: number, timeOfDayMs: number }, answer: ListResponse, onList: () => void }

function createSetup (): Setup {
  const sent: string[] = []
  const clock = { monotonicMs: 0, timeOfDayMs: 0 }
  const commands: CommandClient = {
    start: async () => { sent.push('start'); return { type: 'accepted', clockMs: 1 } },
    stop: async () => ({ type: 'accepted', clockMs: 1 }),
    throttle: async () => ({ type: 'accepted', clockMs: 1 }),
    list: async ({ id }, { waitMs, leaseUntilMs }) => { sent.push(`list ${id} ${waitMs} ${leaseUntilMs ?? 'no lease'}`); setup.onList(); return setup.answer }
  }
  const reporter = { log: () => {}, count: () => {}, observe: () => {} }
  const check = IncarnationCheck.create({ commands, reporter, clocks: { monotonic: () => clock.monotonicMs, timeOfDay: () => clock.timeOfDayMs } })
  const setup: Setup = { check, sent, clock, answer: listed(OLD), onList: () => {} }
  return setup
}

function listed (incarnation: number): ListResponse {
  return { type: 'listed', listing: { incarnation, clockMs: 1, running: [], ended: [] } }
}

function pass (clock: Setup['clock'], ms: number): void {
  clock.monotonicMs += ms
  clock.timeOfDayMs += ms
}

const UNANSWERED = { type: 'unanswered', reason: 'timeout' } as const
const QUESTION = 'list t1 0 no lease'

const cases: ReadonlyArray<{ readonly name: string, readonly prepare: (setup: Setup) => Promise<unknown>, readonly expected: readonly string[] }> = [
  { name: 'its incarnation has just answered', prepare: async ({ check }) => check.list(TARGET, LIST), expected: ['start'] },
  { name: 'it has never answered, and answers', prepare: async () => {}, expected: [QUESTION, 'start'] },
  { name: 'it answered some time ago, and answers', prepare: async ({ check, clock }) => { await check.list(TARGET, LIST); pass(clock, 201) }, expected: [QUESTION, 'start'] },
  { name: 'the host of the member was suspended since its answer', prepare: async ({ check, clock }) => { await check.list(TARGET, LIST); clock.timeOfDayMs += 4_000 }, expected: [QUESTION, 'start'] },
  { name: 'the member was paused while it waited for the answer', prepare: async (setup) => { setup.onList = () => pass(setup.clock, 1_500); await setup.check.list(TARGET, LIST); setup.onList = () => {} }, expected: [QUESTION, 'start'] },
  { name: 'it answered some time ago, and has restarted', prepare: async (setup) => { await setup.check.list(TARGET, LIST); pass(setup.clock, 201); setup.answer = listed(NEXT) }, expected: [QUESTION] },
  { name: 'its next incarnation has just answered', prepare: async (setup) => { setup.answer = listed(NEXT); await setup.check.list(TARGET, LIST); setup.answer = listed(OLD) }, expected: [QUESTION] },
  { name: 'it answered some time ago, and is silent', prepare: async (setup) => { await setup.check.list(TARGET, LIST); pass(setup.clock, 201); setup.answer = UNANSWERED }, expected: [QUESTION] },
  { name: 'it refuses the question', prepare: async (setup) => { setup.answer = { type: 'refused', reason: 'other-incarnation' } }, expected: [QUESTION] }
]

for (const { name, prepare, expected } of cases) {
  // TWICE: a start that was meant for the life before makes a restarted target hold its runs for the longest lease.
  test(`incarnation check: guards against the failure that a start reaches an incarnation that it is not meant for: ${name}`, async () => {
    const setup = createSetup()
    await prepare(setup)
    setup.sent.length = 0
    const response = await setup.check.start(TARGET, START)
    assert.deepEqual(setup.sent, expected)
    assert.equal(response.type, expected.includes('start') ? 'accepted' : 'unanswered')
  })
}

test('incarnation check: starts of the same moment share one question', async () => {
  const { check, sent } = createSetup()
  await Promise.all([1, 2, 3].map((run) => check.start(TARGET, { ...START, run })))
  assert.deepEqual(sent, [QUESTION, 'start', 'start', 'start'])
})

test('incarnation check: a start without an incarnation, which a member of an older release has relayed, is sent', async () => {
  const { check, sent } = createSetup()
  await check.start({ id: 't1', address: 'a:1' }, START)
  assert.deepEqual(sent, ['start'])
})

const LEASE_MS = 3_500
const ages = [
  { ageMs: 200, givesLease: true },
  { ageMs: 201, givesLease: false }
]

for (const { ageMs, givesLease } of ages) {
  // TWICE: a list request that was held up behind commands to a silent target gave its next life the longest lease.
  test(`list request: guards against the failure that a lease is given to an incarnation that may have ended: ${ageMs} ms after its last answer`, () => {
    const harness = createHarnessWithTarget()
    const request = buildListRequest(harness.scheduler.getTarget('t1')!, harness.now + ageMs, LEASE_MS)
    assert.equal(request.leaseUntilMs !== undefined, givesLease)
    assert.equal(request.waitMs > 0, givesLease)
  })
}
