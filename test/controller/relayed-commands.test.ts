import assert from 'node:assert/strict'
import { test } from 'node:test'
import { NO_LISTENER } from '../../src/ports/command-client.ts'
import type { CommandResponse } from '../../src/ports/command-client.ts'
import type { Peer } from '../../src/controller/member-call.ts'
import { selectRelays } from '../../src/controller/commands/relay-selection.ts'
import { RelayedCommands } from '../../src/controller/commands/relayed-commands.ts'
import { LIST, LISTED, RecordingClient, RelayNetwork, SILENT_REPORTER, START, STOP, buildPeer, settle } from './relay-harness.ts'

const LARGE_CELL = new Map([['east', 200]])

type Setup = { readonly network: RelayNetwork, readonly direct: RecordingClient, readonly commands: RelayedCommands, readonly clock: { now: number }, readonly members: Peer[] }

/** A leader of a cell whose targets are all in the failure domain `east`, with relays there. */
function createCommands (members = [buildPeer(1), buildPeer(2)], targetCounts: ReadonlyMap<string, number> = LARGE_CELL): Setup & { readonly update: () => void } {
  const network = new RelayNetwork()
  const direct = new RecordingClient()
  const clock = { now: 1_000 }
  const commands = RelayedCommands.create({ direct, open: network.open, reporter: SILENT_REPORTER, getFailureDomain: () => 'east', now: () => clock.now })
  network.timeOfDay = Date.now()
  const update = (): void => commands.update(members, targetCounts)
  update()
  return { network, direct, commands, clock, members, update }
}

/** Advances the clock in steps of the leader's ticks. */
async function advance ({ clock, update }: { readonly clock: { now: number }, readonly update: () => void }, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
    clock.now += 50
    update()
    await settle()
  }
}

function target (number: number): { readonly id: string, readonly address: string } {
  return { id: `t${number}`, address: `t${number}:80` }
}

function getRelayedCalls ({ network }: Setup): readonly string[] {
  return [...network.clients.values()].flatMap(({ calls }) => calls)
}

const selections: ReadonlyArray<{ readonly guards: string, readonly members: readonly Peer[], readonly targets: ReadonlyMap<string, number>, readonly expected: Readonly<Record<string, readonly string[]>> }> = [
  { guards: 'a small cell has none', members: [buildPeer(1), buildPeer(2)], targets: new Map([['east', 33]]), expected: {} },
  { guards: 'the largest members of each failure domain, as many as its targets need', members: [buildPeer(1, 'east', 0.3), buildPeer(2, 'east', 1.3), buildPeer(3, 'east', 1.3), buildPeer(4, 'west', 0.3)], targets: new Map([['east', 76], ['west', 40]]), expected: { east: ['m2', 'm3'], west: ['m4'] } },
  { guards: 'none in a failure domain without members', members: [buildPeer(1, 'east')], targets: new Map([['east', 60], ['west', 60]]), expected: { east: ['m1'] } },
  { guards: 'members that do not tell their failure domain are left out', members: [{ member: 'old', address: 'old:1' }], targets: LARGE_CELL, expected: {} },
  // A relay of an older release sends starts on connections on which no incarnation has answered.
  { guards: 'members that relay commands to whichever incarnation responds are left out, however large they are', members: [{ member: 'old', address: 'old:1', failureDomain: 'east', cores: 4 }, buildPeer(1)], targets: LARGE_CELL, expected: { east: ['m1'] } }
]

for (const { guards, members, targets, expected } of selections) {
  test(`relay selection: ${guards}`, () => {
    const selected = [...selectRelays(members, targets)].map(([domain, peers]) => [domain, peers.map(({ member }) => member)])
    assert.deepEqual(Object.fromEntries(selected), expected)
  })
}

test('relayed commands: each target has one relay, and the relays share the targets', async () => {
  const setup = createCommands()
  await Promise.all(Array.from({ length: 100 }, (_, index) => setup.commands.start(target(index), START)))
  await Promise.all(Array.from({ length: 100 }, (_, index) => setup.commands.stop(target(index), STOP)))
  assert.deepEqual(setup.direct.calls, [])
  assert.equal(getRelayedCalls(setup).length, 200)
  for (const { calls } of setup.network.clients.values()) {
    const started = calls.filter((call) => call.startsWith('start'))
    assert.ok(started.length > 25, `${started.length} starts through one relay`)
    assert.deepEqual(calls.filter((call) => call.startsWith('stop')).map((call) => call.split(' ')[1]).sort(), started.map((call) => call.split(' ')[1]).sort())
  }
})

test('relayed commands: responses and listings are returned unchanged', async () => {
  const { commands, network } = createCommands([buildPeer(1)])
  assert.deepEqual(await commands.list(target(1), LIST), LISTED)
  const refused: CommandResponse = { type: 'refused', reason: 'no-room', clockMs: 12 }
  network.getClient('m1:1').response = refused
  assert.deepEqual(await commands.start(target(1), START), refused)
})

const paths: ReadonlyArray<{ readonly guards: string, readonly members: Peer[], readonly targets: ReadonlyMap<string, number> }> = [
  { guards: 'of a small cell', members: [buildPeer(1)], targets: new Map([['east', 33]]) },
  { guards: 'of a failure domain without members', members: [buildPeer(1, 'west')], targets: LARGE_CELL }
]

for (const { guards, members, targets } of paths) {
  test(`relayed commands: the leader calls the targets ${guards} itself`, async () => {
    const setup = createCommands(members, targets)
    await setup.commands.start(target(1), START)
    assert.deepEqual(setup.direct.calls, ['start t1 a.0.0.0 1'])
    assert.deepEqual(setup.network.opened, [])
  })
}

test('relayed commands: a relay whose stream ends leaves its commands unanswered, and the targets stay in use', async () => {
  const setup = createCommands([buildPeer(1)])
  setup.network.silence('m1:1')
  const pending = setup.commands.start(target(1), START)
  await settle()
  setup.network.cut('m1:1')
  assert.deepEqual(await pending, { type: 'unanswered', reason: 'relay-lost' })
  await setup.commands.start(target(1), START)
  assert.deepEqual(setup.direct.calls, ['start t1 a.0.0.0 1'])
})

test('relayed commands: a relay that becomes silent without an error is lost within half a second', async () => {
  const setup = createCommands([buildPeer(1)])
  await setup.commands.start(target(1), START)
  setup.network.silence('m1:1')
  const responses: string[] = []
  const pending = setup.commands.list(target(1), LIST).then((response) => responses.push(response.type))
  await advance(setup, 400)
  assert.deepEqual(responses, [])
  await advance(setup, 200)
  await pending
  assert.deepEqual(responses, ['unanswered'])
  await setup.commands.list(target(1), LIST)
  assert.deepEqual(setup.direct.calls, ['list t1'])
})

test('relayed commands: a leader that was busy itself does not take its relays for lost', async () => {
  const setup = createCommands([buildPeer(1)])
  await advance(setup, 200)
  const pending = setup.commands.start(target(1), START)
  setup.clock.now += 2_000
  setup.update()
  assert.deepEqual(await pending, { type: 'accepted', clockMs: 500 })
  assert.deepEqual(setup.network.opened, ['m1:1'])
})

test('relayed commands: a target that does not respond through its only relay is called directly for a while', async () => {
  const setup = createCommands([buildPeer(1)])
  setup.network.getClient('m1:1').listing = { type: 'unanswered', reason: 'timeout' }
  assert.deepEqual(await setup.commands.list(target(1), LIST), { type: 'unanswered', reason: 'timeout' })
  assert.deepEqual(await setup.commands.list(target(1), LIST), LISTED)
  assert.deepEqual(setup.direct.calls, ['list t1'])
  await advance(setup, 3_100)
  await setup.commands.list(target(1), LIST)
  assert.deepEqual(setup.direct.calls, ['list t1'])
})

// Single commands timed out behind slow relays: the leader called 104 of 245 targets itself, and was too busy to read the
// responses.
test('relayed commands: guards against the failure that a leader calls targets itself that respond through another relay', async () => {
  const setup = createCommands()
  setup.network.getClient('m1:1').response = { type: 'unanswered', reason: 'timeout' }
  const targets = Array.from({ length: 100 }, (_, index) => target(index))
  const sendAll = (): Promise<readonly CommandResponse[]> => Promise.all(targets.map((called) => setup.commands.start(called, START)))
  const unanswered = (await sendAll()).filter(({ type }) => type === 'unanswered').length
  assert.ok(unanswered > 25, `${unanswered} starts through the slow relay`)
  assert.deepEqual((await sendAll()).filter(({ type }) => type === 'unanswered'), [])
  assert.deepEqual(setup.direct.calls, [])
})

test('relayed commands: a target that does not respond through any relay is called directly for a while', async () => {
  const setup = createCommands()
  for (const address of ['m1:1', 'm2:1']) setup.network.getClient(address).response = { type: 'unanswered', reason: 'timeout' }
  await setup.commands.start(target(1), START)
  await setup.commands.start(target(1), START)
  assert.equal((await setup.commands.start(target(1), START)).type, 'accepted')
  assert.deepEqual(setup.direct.calls, ['start t1 a.0.0.0 1'])
  await advance(setup, 3_100)
  await setup.commands.start(target(1), START)
  assert.equal(setup.direct.calls.length, 1)
})

// The listings of 21 lost targets cost the leader 120 to 150 refused connections a second.
test('relayed commands: guards against the failure that a leader connects itself to hosts that refuse connections', async () => {
  const setup = createCommands([buildPeer(1)])
  setup.network.getClient('m1:1').listing = { type: 'unanswered', reason: NO_LISTENER }
  assert.deepEqual(await setup.commands.list(target(1), LIST), { type: 'unanswered', reason: NO_LISTENER })
  assert.deepEqual(await setup.commands.list(target(1), LIST), { type: 'unanswered', reason: NO_LISTENER })
  assert.deepEqual(setup.direct.calls, [])
})

test('relayed commands: a lost relay is used again after a pause', async () => {
  const setup = createCommands([buildPeer(1)])
  await setup.commands.start(target(1), START)
  setup.network.cut('m1:1')
  await advance(setup, 3_100)
  await setup.commands.start(target(1), START)
  assert.deepEqual(setup.network.opened, ['m1:1', 'm1:1'])
})

test('relayed commands: a member that restarts at another address gets a new stream', async () => {
  const members = [buildPeer(1)]
  const setup = createCommands(members)
  await setup.commands.start(target(1), START)
  members[0] = { ...buildPeer(1), address: 'm1:2' }
  setup.update()
  await setup.commands.start(target(1), START)
  assert.deepEqual(setup.network.opened, ['m1:1', 'm1:2'])
})

test('relayed commands: a relay that was suspended with a command sends it no more', async () => {
  const setup = createCommands([buildPeer(1)])
  await setup.commands.start(target(1), START)
  setup.network.timeOfDay += 2_000
  assert.deepEqual(await setup.commands.start(target(1), { ...START, run: 2 }), { type: 'unanswered', reason: 'too-late', sent: false })
  assert.deepEqual(getRelayedCalls(setup), ['start t1 a.0.0.0 1'])
})
