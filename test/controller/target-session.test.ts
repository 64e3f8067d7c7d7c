import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { TargetSession } from '../../src/controller/commands/target-session.ts'
import type { CommandClient, CommandTarget, ListRequest } from '../../src/ports/command-client.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import { TargetState } from '../../src/workflow/target-state.ts'
import { CellHarness, buildEntry } from '../workflow/harness.ts'

const TIMEOUT_MS = 3_000
const POLL_INTERVAL_MS = 10
const LIST_MS = 20

const failures = [
  { place: 'the call', list: () => { throw new TypeError('Invalid URL') }, applyEvent: () => {} },
  { place: 'the scheduler', list: undefined, applyEvent: () => { throw new Error('unexpected listing') } }
]

for (const { place, list, applyEvent } of failures) {
  // An error in one listing ended the session: the target looked reachable, but the ends of its runs were never read again.
  test(`target session: guards against the failure that a target is never listed again after an error in ${place}`, async () => {
    const target = TargetState.create(buildEntry('t1'), 0)
    const events: CellEvent[] = []
    let calls = 0
    const commands = {
      list: async () => {
        calls += 1
        if (calls === 1) list?.()
        await wait(LIST_MS)
        return { type: 'listed', listing: { incarnation: 1, clockMs: 1, running: [], ended: [] } }
      }
    } as unknown as CommandClient
    const logged: string[] = []
    const session = TargetSession.create({
      id: 't1',
      commands,
      term: 1,
      leaseMs: 1_000,
      reporter: { log: (_level, message) => logged.push(message), count: () => {}, observe: () => {} },
      getTarget: () => target,
      applyEvent: (event) => {
        if (calls === 1) applyEvent()
        events.push(event)
      },
      waitForCommit: async () => {},
      isCommanded: () => true,
      canSendCommands: () => true
    })
    const deadline = performance.now() + TIMEOUT_MS
    while (events.length === 0 && performance.now() < deadline) await wait(POLL_INTERVAL_MS)
    session.stop()
    assert.deepEqual([events[0]?.type, logged[0]], ['target-listed', 'target-session-failed'])
  })
}

// TWICE: the request after an unanswered one carried the cursor and the lease of the incarnation before to the next one.
test('target session: the request after an unanswered one acknowledges nothing and extends no lease', async () => {
  const harness = CellHarness.create([buildEntry('t1')])
  const target = harness.scheduler.getTarget('t1')!
  target.lastAcknowledged = 7
  const requests: ListRequest[] = []
  const commands = {
    list: async (_target: CommandTarget, request: ListRequest) => {
      requests.push(request)
      await wait(LIST_MS)
      if (requests.length === 1) return { type: 'unanswered', reason: 'reset' }
      return { type: 'listed', listing: { incarnation: 1, clockMs: 1, running: [], ended: [] } }
    }
  } as unknown as CommandClient
  const session = TargetSession.create({
    id: 't1',
    commands,
    term: 1,
    leaseMs: 1_000,
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    getTarget: () => target,
    applyEvent: (event) => { harness.apply(event) },
    waitForCommit: async () => {},
    isCommanded: () => true,
    canSendCommands: () => true
  })
  const deadline = performance.now() + TIMEOUT_MS
  while (requests.length < 3 && performance.now() < deadline) await wait(POLL_INTERVAL_MS)
  session.stop()
  assert.deepEqual(requests.slice(0, 3).map(({ acknowledged, leaseUntilMs }) => [acknowledged, leaseUntilMs !== undefined]), [[7, true], [0, false], [7, true]])
})

// A cursor that was left out counted as sent: the target went on listing the same completions at once, hundreds of times a second.
test('target session: guards against the failure that a cursor which was not sent is never sent again', async () => {
  const harness = CellHarness.create([buildEntry('t1')])
  const target = harness.scheduler.getTarget('t1')!
  target.lastAcknowledged = 7
  const requests: ListRequest[] = []
  const commands = {
    list: async (_target: CommandTarget, request: ListRequest) => {
      requests.push(request)
      await wait(LIST_MS)
      return { type: 'listed', listing: { incarnation: 1, clockMs: 1, running: [], ended: [] }, ...requests.length === 1 && { isReduced: true } }
    }
  } as unknown as CommandClient
  const session = TargetSession.create({
    id: 't1',
    commands,
    term: 1,
    leaseMs: 1_000,
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    getTarget: () => target,
    applyEvent: (event) => { harness.apply(event) },
    waitForCommit: async () => {},
    isCommanded: () => true,
    canSendCommands: () => true
  })
  const deadline = performance.now() + TIMEOUT_MS
  while (requests.length < 4 && performance.now() < deadline) await wait(POLL_INTERVAL_MS)
  session.stop()
  assert.deepEqual(requests.slice(0, 4).map(({ acknowledged }) => acknowledged), [7, 7, 0, 0])
})

/** Listings in a row after which a target counts as one that keeps no connections open. */
const REDUCED_LISTINGS = 15

// A target that closes its connections gets neither leases nor starts, so that its runs lapse, and each listing follows the one before at once.
test('target session: guards against the failure that a target whose listings are always reduced is never commanded again', async () => {
  const harness = CellHarness.create([buildEntry('t1')], undefined, { areCommandsBound: true })
  const addressees: CommandTarget[] = []
  const commands = {
    list: async (target: CommandTarget) => {
      addressees.push(target)
      await wait(LIST_MS)
      return { type: 'listed', listing: { incarnation: 1, clockMs: 1, running: [], ended: [] }, ...target.mayReachNext !== true && { isReduced: true } }
    }
  } as unknown as CommandClient
  const session = TargetSession.create({
    id: 't1',
    commands,
    term: 1,
    leaseMs: 1_000,
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    getTarget: () => harness.scheduler.getTarget('t1'),
    applyEvent: (event) => {
      for (const effect of harness.apply(event)) {
        if (effect.type === 'store-targets') harness.apply({ type: 'targets-stored', ids: effect.ids, unbound: effect.unbound })
      }
    },
    waitForCommit: async () => {},
    isCommanded: () => true,
    mayReachNext: () => harness.scheduler.mayReachNext('t1'),
    canSendCommands: () => true
  })
  const startedAt = performance.now()
  while (addressees.length < REDUCED_LISTINGS + 2 && performance.now() < startedAt + TIMEOUT_MS) await wait(POLL_INTERVAL_MS)
  session.stop()
  assert.deepEqual(addressees.slice(0, REDUCED_LISTINGS + 2).map(({ mayReachNext }) => mayReachNext), [...Array<undefined>(REDUCED_LISTINGS).fill(undefined), true, true])
  assert.ok(performance.now() - startedAt >= 1_300, 'it was asked again and again without a pause')
})
