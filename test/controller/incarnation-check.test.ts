import assert from 'node:assert/strict'
import { test } from 'node:test'
import { IncarnationCheck } from '../../src/controller/commands/incarnation-check.ts'
import { WITHHELD } from '../../src/ports/command-client.ts'
import type { CommandTarget, ConnectionCommands, ListResponse } from '../../src/ports/command-client.ts'

const OLD = 1
const NEXT = 2
const TARGET = { id: 't1', address: 'a:1', incarnation: OLD }
/** The same once the leader has stored that its commands may reach a later incarnation. */
const UNBOUND_TARGET = { ...TARGET, mayReachNext: true } as const
const START = { task: 'a.0.0.0', run: 1, payload: 'p', leaseUntilMs: 400_000, epoch: 3, checkpoint: '', ticket: undefined }
const LIST = { epoch: 3, acknowledged: 0, leaseUntilMs: undefined, waitMs: 1_000 }
const LEASE = { epoch: 3, acknowledged: 7, leaseUntilMs: 400_000, waitMs: 1_000 }
const UNANSWERED = { type: 'unanswered', reason: 'timeout' } as const
const NOT_SENT = { type: 'unanswered', reason: WITHHELD } as const

/** A target behind the check, whose connections open as a test says. */
class Setup {
  readonly sent: string[] = []
  readonly lines: unknown[] = []
  readonly counters: string[] = []
  answer: ListResponse = listed(OLD)
  now = 0
  private connectedAt = -Infinity
  /** Time that each call takes until it is written. */
  writeMs = 1
  /** Calls from now on before which a connection is opened. */
  private readonly openings: boolean[] = []

  private readonly commands: ConnectionCommands = {
    start: async (_target, _command, mayBeSent) => {
      if (!this.openAndAsk(mayBeSent)) return NOT_SENT
      this.sent.push('start')
      return { type: 'accepted', clockMs: 1 }
    },
    stop: async () => ({ type: 'accepted', clockMs: 1 }),
    throttle: async () => ({ type: 'accepted', clockMs: 1 }),
    list: async (_target, { waitMs, leaseUntilMs, acknowledged }, mayBeSent) => {
      if (!this.openAndAsk(mayBeSent)) return NOT_SENT
      this.sent.push(`list wait ${waitMs} lease ${leaseUntilMs ?? 'none'} cursor ${acknowledged}`)
      return this.answer
    },
    getConnectedAt: () => this.connectedAt
  }

  readonly check = IncarnationCheck.create({ commands: this.commands, reporter: { log: (_level, message, { answerAgeMs, ...fields }) => { this.lines.push({ message, ...fields, ...answerAgeMs !== undefined && { hasAge: true } }) }, count: (counter) => { this.counters.push(counter) }, observe: () => {} }, clocks: { monotonic: () => { this.now += 1; return this.now }, timeOfDay: () => this.now } })

  /** Says for each of the next calls whether a connection is opened for it. */
  openConnections (...openings: readonly boolean[]): void {
    this.openings.push(...openings)
  }

  private openAndAsk (mayBeSent: (() => boolean) | undefined): boolean {
    this.now += this.writeMs
    if (this.openings.shift() === true) this.connectedAt = this.now
    return mayBeSent?.() !== false
  }
}

function listed (incarnation: number): ListResponse {
  return { type: 'listed', listing: { incarnation, clockMs: 1, running: [], ended: [] } }
}

/** The target has answered on a connection that was opened before. */
async function meet ({ check }: Setup): Promise<void> {
  await check.list(TARGET, LIST)
}

const QUESTION = 'list wait 0 lease none cursor 0'
const FULL_LIST = 'list wait 1000 lease 400000 cursor 7'
const MAX_QUESTIONS = 5

/** The target closes each connection after a response. */
function closeEach (setup: Setup): void {
  setup.openConnections(...Array(2 * MAX_QUESTIONS).fill(true) as boolean[])
}

type CommandCase = { readonly name: string, readonly prepare: (setup: Setup) => Promise<void>, readonly expected: readonly string[], readonly target?: CommandTarget }

const starts: readonly CommandCase[] = [
  { name: 'it has answered since the last connection was opened', prepare: meet, expected: ['start'] },
  { name: 'it has never answered', prepare: async () => {}, expected: [QUESTION, 'start'] },
  { name: 'a connection is opened for the first question', prepare: async (setup) => setup.openConnections(true), expected: [QUESTION, QUESTION, 'start'] },
  { name: 'a connection is opened for the start', prepare: async (setup) => { await meet(setup); setup.openConnections(true) }, expected: [QUESTION, 'start'] },
  { name: 'a connection is opened for the start, and the next incarnation answers there', prepare: async (setup) => { await meet(setup); setup.openConnections(true); setup.answer = listed(NEXT) }, expected: [QUESTION] },
  { name: 'a connection is opened for the start, and nobody answers there', prepare: async (setup) => { await meet(setup); setup.openConnections(true); setup.answer = UNANSWERED }, expected: [QUESTION] },
  { name: 'a connection is opened for the first question and for three starts', prepare: async (setup) => setup.openConnections(true, false, true, false, true, false, true), expected: [QUESTION, QUESTION, QUESTION, QUESTION, QUESTION, 'start'] },
  { name: 'it keeps no connection open', prepare: async (setup) => { await meet(setup); closeEach(setup) }, expected: Array<string>(MAX_QUESTIONS - 1).fill(QUESTION) },
  { name: 'it keeps no connection open, which is stored', target: UNBOUND_TARGET, prepare: async (setup) => { await meet(setup); closeEach(setup) }, expected: ['start'] },
  { name: 'it keeps no connection open, which is stored, and has not answered for some time', target: UNBOUND_TARGET, prepare: async (setup) => { await meet(setup); closeEach(setup); setup.now += 300 }, expected: [QUESTION, 'start'] },
  { name: 'it keeps no connection open, which is stored, and the start is written late', target: UNBOUND_TARGET, prepare: async (setup) => { await meet(setup); setup.writeMs = 300; closeEach(setup) }, expected: Array<string>(MAX_QUESTIONS - 1).fill(QUESTION) },
  { name: 'it keeps no connection open, which is stored, and the next incarnation answers', target: UNBOUND_TARGET, prepare: async (setup) => { await meet(setup); closeEach(setup); setup.now += 300; setup.answer = listed(NEXT) }, expected: [QUESTION] },
  { name: 'its next incarnation has answered', prepare: async (setup) => { setup.answer = listed(NEXT); await meet(setup) }, expected: [QUESTION] },
  { name: 'it answered at another address', prepare: async (setup) => { await setup.check.list({ ...TARGET, address: 'b:1' }, LIST) }, expected: [QUESTION, 'start'] },
  { name: 'it refuses the question', prepare: async (setup) => { setup.answer = { type: 'refused', reason: 'other-incarnation' } }, expected: [QUESTION] }
]

for (const { name, prepare, expected, target = TARGET } of starts) {
  // TWICE: a start that was meant for the life before makes a restarted target hold its runs for the longest lease.
  test(`incarnation check: guards against the failure that a start reaches an incarnation that it is not meant for: ${name}`, async () => {
    const setup = new Setup()
    await prepare(setup)
    setup.sent.length = 0
    const response = await setup.check.start(target, START)
    assert.deepEqual(setup.sent, expected)
    assert.equal(response.type, expected.includes('start') ? 'accepted' : 'unanswered')
  })
}

const lists: readonly CommandCase[] = [
  { name: 'it has answered since the last connection was opened', prepare: meet, expected: [FULL_LIST] },
  { name: 'it has never answered', prepare: async () => {}, expected: [QUESTION] },
  { name: 'a connection is opened for the request', prepare: async (setup) => { await meet(setup); setup.openConnections(true) }, expected: [QUESTION] },
  { name: 'it keeps no connection open', prepare: async (setup) => { await meet(setup); closeEach(setup) }, expected: [QUESTION] },
  { name: 'it keeps no connection open, which is stored', target: UNBOUND_TARGET, prepare: async (setup) => { await meet(setup); closeEach(setup) }, expected: [FULL_LIST] },
  { name: 'it keeps no connection open, which is stored, and has not answered for some time', target: UNBOUND_TARGET, prepare: async (setup) => { await meet(setup); closeEach(setup); setup.now += 300 }, expected: [QUESTION] }
]

for (const { name, prepare, expected, target = TARGET } of lists) {
  // TWICE: a lease or a cursor that was meant for the life before holds for the next one, or discards its completions unread.
  test(`incarnation check: guards against the failure that a lease or a cursor reaches an incarnation that it is not meant for: ${name}`, async () => {
    const setup = new Setup()
    await prepare(setup)
    setup.sent.length = 0
    const response = await setup.check.list(target, LEASE)
    assert.deepEqual([response.type, response.type === 'listed' && response.isReduced === true], ['listed', expected[0] === QUESTION])
    assert.deepEqual(setup.sent, expected)
  })
}

// Requests without lease and cursor are all that such a target gets, as long as nobody has stored that more may reach its next one.
test('incarnation check: guards against the failure that a target which keeps no connections open gets a lease after some reduced requests', async () => {
  const setup = new Setup()
  await meet(setup)
  setup.openConnections(...Array(40).fill(true) as boolean[])
  setup.sent.length = 0
  const responses: ListResponse[] = []
  for (let request = 0; request < 10; request += 1) responses.push(await setup.check.list(TARGET, LEASE))
  assert.ok(responses.every((response) => response.type === 'listed' && response.isReduced === true))
  assert.deepEqual(setup.sent, Array(10).fill(QUESTION))
})

const reports = [
  { name: 'a start to a target that does not answer', prepare: async (setup: Setup) => { setup.answer = UNANSWERED }, send: ({ check }: Setup) => check.start(TARGET, START), fields: { command: 'start' } },
  { name: 'a start to a target whose next incarnation answers', prepare: async (setup: Setup) => { setup.answer = listed(NEXT) }, send: ({ check }: Setup) => check.start(TARGET, START), fields: { command: 'start', answeredBy: NEXT, hasAge: true } },
  { name: 'a lease to a target that has not answered', prepare: async () => {}, send: ({ check }: Setup) => check.list(TARGET, LEASE), fields: { command: 'list' } },
  { name: 'a lease on a new connection', prepare: async (setup: Setup) => { await meet(setup); setup.openConnections(true) }, send: ({ check }: Setup) => check.list(TARGET, LEASE), fields: { command: 'list', answeredBy: OLD, hasAge: true } }
]

for (const { name, prepare, send, fields } of reports) {
  // A log did not tell which life of a target had answered the process that withheld a command.
  test(`incarnation check: guards against the failure that a withheld command leaves no trace: ${name}`, async () => {
    const setup = new Setup()
    await prepare(setup)
    await send(setup)
    assert.deepEqual(setup.lines, [{ message: 'incarnation-not-confirmed', target: 't1', incarnation: OLD, ...fields }])
    assert.ok(setup.counters.includes(`${fields.command}-withheld`))
  })
}

// A member kept a record of each target that it had ever met.
test('incarnation check: guards against the failure that targets which have gone away are remembered for good', async () => {
  const setup = new Setup()
  for (let number = 0; number < 50; number += 1) {
    await setup.check.list({ ...TARGET, id: `gone${number}` }, LIST)
    setup.now += 5_000
  }
  assert.ok(setup.check.knownCount <= 15, `${setup.check.knownCount} are known`)
})

test('incarnation check: starts of the same moment share one question', async () => {
  const { check, sent } = new Setup()
  await Promise.all([1, 2, 3].map((run) => check.start(TARGET, { ...START, run })))
  assert.deepEqual(sent, [QUESTION, 'start', 'start', 'start'])
})

test('incarnation check: a start without an incarnation, which a member of an older release has relayed, is sent', async () => {
  const { check, sent } = new Setup()
  await check.start({ id: 't1', address: 'a:1' }, START)
  assert.deepEqual(sent, ['start'])
})
