import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { computeFencingNumber, toTerm } from '../../src/controller/leadership/fencing-number.ts'
import { TargetSession } from '../../src/controller/commands/target-session.ts'
import type { CommandClient, CommandTarget, ListRequest, ListResponse } from '../../src/ports/command-client.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import { CellHarness, buildEntry } from '../workflow/harness.ts'
import { VirtualCell } from './virtual-cell.ts'

const TIMEOUT_MS = 3_000
const POLL_INTERVAL_MS = 5

const orders = [
  { guards: 'a target that has restarted takes commands to its life before', lower: computeFencingNumber(3, 1), higher: computeFencingNumber(3, 2) },
  { guards: 'a target takes commands of a leader before', lower: computeFencingNumber(3, 7), higher: computeFencingNumber(4, 0) },
  { guards: 'so many restarts under one leader outlive its term', lower: computeFencingNumber(3, 5_000_000), higher: computeFencingNumber(4, 0) },
  { guards: 'a target takes commands of a leader of an older release, which sends the bare term', lower: 900_000, higher: computeFencingNumber(1, 0) }
]

for (const { guards, lower, higher } of orders) {
  // TWICE: commands to all lives of a target carried the same number, so that those to a life before had an effect on the next one.
  test(`fencing number: guards against the failure that ${guards}`, () => assert.ok(lower < higher))
}

for (const { number, term } of [{ number: computeFencingNumber(3, 0), term: 3 }, { number: computeFencingNumber(3, 5_000_000), term: 3 }, { number: 7, term: 7 }]) {
  // A member that relays commands refuses those of earlier terms; older releases send the bare term.
  test(`fencing number: guards against the failure that a relay takes ${number} for one of another term than ${term}`, () => assert.equal(toTerm(number), term))
}

const FENCED: ListResponse = { type: 'refused', reason: 'fenced' }

/** Sends a list request to `t1`, which restarts, or whose commands are revoked, or neither, while it is on its way, and returns the events that follow. */
async function refuseRequest (change: 'restart' | 'revocation' | undefined): Promise<{ readonly numbers: readonly number[], readonly silences: number }> {
  const harness = CellHarness.create([buildEntry('t1')])
  const numbers: number[] = []
  const events: CellEvent[] = []
  const list = async (_target: CommandTarget, { epoch }: ListRequest): Promise<ListResponse> => {
    numbers.push(epoch)
    if (numbers.length === 1 && change === 'revocation') harness.scheduler.getTarget('t1')!.revocations += 1
    if (numbers.length === 1 && change === 'restart') harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
    await wait(POLL_INTERVAL_MS)
    return numbers.length === 1 ? FENCED : { type: 'listed', listing: { incarnation: 2, clockMs: 1, running: [], ended: [] } }
  }
  const session = TargetSession.create({
    id: 't1',
    commands: { list } as unknown as CommandClient,
    term: 4,
    leaseMs: 1_000,
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    getTarget: () => harness.scheduler.getTarget('t1'),
    applyEvent: (event) => { events.push(event) },
    waitForCommit: async () => {},
    isCommanded: () => true,
    canSendCommands: () => true
  })
  const deadline = performance.now() + TIMEOUT_MS
  while (numbers.length < 2 && performance.now() < deadline) await wait(POLL_INTERVAL_MS)
  session.stop()
  return { numbers: numbers.slice(0, 2), silences: events.filter(({ type }) => type === 'target-silent').length }
}

const refusals = [
  { guards: 'a leader stands down because a target that has restarted refused a request to its life before', change: 'restart', expected: { numbers: [4_000_000, 4_000_001], silences: 0 } },
  { guards: 'a leader stands down because a target refused a request of a series that the leader has revoked', change: 'revocation', expected: { numbers: [4_000_000, 4_000_001], silences: 0 } },
  { guards: 'a leader goes on although a target refused a request to its present life', change: undefined, expected: { numbers: [4_000_000, 4_000_000], silences: 1 } }
] as const

for (const { guards, change, expected } of refusals) {
  // A request with the number of the life or series before is refused once the target has received one with the present number.
  test(`target session: guards against the failure that ${guards}`, async () => assert.deepEqual(await refuseRequest(change), expected))
}

// The targets fence commands to the life before; the refusals must not end the term.
test('fencing number: guards against the failure that restarts of targets beside late commands end the term of their leader', async () => {
  const cell = VirtualCell.create(5, { members: 2, targets: 4 })
  try {
    await cell.time.advance(1_000)
    cell.targets.lateRatio = 0.2
    for (let index = 0; index < 6; index += 1) {
      cell.submit(cell.hosts[0]!, `j${index}`, [4], 2_000)
      cell.targets.restart(cell.targets.targets.get(`t${index % 4}`)!)
      await cell.time.advance(1_500)
    }
    cell.targets.lateRatio = 0
    await cell.time.advance(40_000)
    cell.history.checkEnds()
    assert.deepEqual(cell.violations, [])
    assert.equal(cell.logs.filter(({ message }) => message === 'leadership-won').length, 1)
  } finally {
    cell.close()
  }
})
