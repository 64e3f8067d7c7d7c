import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CommandRelay } from '../../src/controller/commands/command-relay.ts'
import { IncarnationCheck } from '../../src/controller/commands/incarnation-check.ts'
import { PermittedCommands } from '../../src/controller/commands/permitted-commands.ts'
import { RelayedCommands } from '../../src/controller/commands/relayed-commands.ts'
import type { RelayReply, RelayedCommand, RelayedResponse } from '../../src/controller/commands/relay-message.ts'
import { WITHHELD } from '../../src/ports/command-client.ts'
import type { CommandClient, CommandResponse, ConnectionCommands, ListRequest, SendPermission } from '../../src/ports/command-client.ts'
import { SILENT_REPORTER, START, STOP, settle } from './relay-harness.ts'

const TERM = 3
const VALID_UNTIL = 1_000
const TARGET = { id: 't1', address: 't1:80', incarnation: 1 }
const NOT_SENT = { type: 'unanswered', reason: WITHHELD } as const
const ACCEPTED = { type: 'accepted', clockMs: 5 } as const
const LEASE: ListRequest = { epoch: TERM, acknowledged: 7, leaseUntilMs: 4_000, waitMs: 1_000 }
const QUESTION: ListRequest = { epoch: TERM, acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 }

const COMMANDS: readonly RelayedCommand[] = [
  { type: 'start', target: TARGET, command: START },
  { type: 'stop', target: TARGET, command: STOP },
  { type: 'throttle', target: TARGET, command: { ...STOP, percent: 50 } },
  { type: 'list', target: TARGET, command: LEASE }
]

/** The connections of a member to a target. What happens meanwhile, `onWait`, happens while a command waits to be written. */
class SlowConnections implements ConnectionCommands {
  readonly written: string[] = []
  onWait: (call: string) => void = () => {}

  start: CommandClient['start'] = (_target, _command, mayBeSent) => this.write('start', mayBeSent)
  stop: CommandClient['stop'] = (_target, _command, mayBeSent) => this.write('stop', mayBeSent)
  throttle: CommandClient['throttle'] = (_target, _command, mayBeSent) => this.write('throttle', mayBeSent)

  list: CommandClient['list'] = async (_target, { leaseUntilMs }, mayBeSent) => {
    const response = await this.write(leaseUntilMs === undefined ? 'question' : 'list', mayBeSent)
    return response.type === 'accepted' ? { type: 'listed', listing: { incarnation: 1, clockMs: 5, running: [], ended: [] } } : NOT_SENT
  }

  getConnectedAt = (): number => -Infinity

  private async write (call: string, mayBeSent?: SendPermission): Promise<typeof ACCEPTED | typeof NOT_SENT> {
    await settle()
    this.onWait(call)
    if (mayBeSent?.() === false) return NOT_SENT
    this.written.push(call)
    return ACCEPTED
  }
}

/** A process that sends a command, and what withdraws its permission. */
type Sender = { readonly name: string, readonly create: (commands: CommandClient) => { readonly withdraw: () => void, readonly send: (relayed: RelayedCommand) => Promise<RelayedResponse> }, readonly expected: RelayedResponse['type'] }

function sendWith (commands: CommandClient, relayed: RelayedCommand): Promise<RelayedResponse> {
  switch (relayed.type) {
    case 'start': return commands.start(relayed.target, relayed.command)
    case 'stop': return commands.stop(relayed.target, relayed.command)
    case 'throttle': return commands.throttle(relayed.target, relayed.command)
    case 'list': return commands.list(relayed.target, relayed.command)
  }
}

function createLeader (commands: CommandClient): ReturnType<Sender['create']> {
  let granted = true
  const relayed = RelayedCommands.create({ direct: commands, open: () => { throw new Error('no relays') }, reporter: SILENT_REPORTER, getFailureDomain: () => undefined })
  const permitted = PermittedCommands.create(relayed, () => granted)
  return { withdraw: () => { granted = false }, send: (command) => sendWith(permitted, command) }
}

function createRelay (commands: CommandClient, withdrawal: 'term' | 'time' | 'stream'): ReturnType<Sender['create']> {
  const state = { now: 0, latestTerm: TERM }
  const replies: RelayReply[] = []
  const relay = CommandRelay.create({ commands, reporter: SILENT_REPORTER, getLatestTerm: () => state.latestTerm, now: () => state.now })
  const session = relay.open((reply) => { replies.push(reply) })
  const withdraw = (): void => {
    if (withdrawal === 'term') state.latestTerm = TERM + 1
    if (withdrawal === 'time') state.now = VALID_UNTIL + 1
    if (withdrawal === 'stream') session.close()
  }
  const send = async (relayed: RelayedCommand): Promise<RelayedResponse> => {
    session.handle({ sequence: 1, entries: [{ number: 1, relayed, validUntilMs: VALID_UNTIL }] })
    for (let hop = 0; hop < 5; hop += 1) await settle()
    return replies[0]?.responses[0]?.response ?? { type: 'unanswered', reason: 'closed' }
  }
  return { withdraw, send }
}

const senders: readonly Sender[] = [
  { name: 'a leader that has lost its permission', create: createLeader, expected: 'unanswered' },
  { name: 'a relay that was suspended until the command was too late', create: (commands) => createRelay(commands, 'time'), expected: 'unanswered' },
  { name: 'a relay that has seen a later term', create: (commands) => createRelay(commands, 'term'), expected: 'refused' },
  { name: 'a relay whose leader has closed its stream', create: (commands) => createRelay(commands, 'stream'), expected: 'unanswered' }
]

/** What the command waits for as the permission ends. */
const waits = [
  { name: 'for a free connection', isMet: true, relevant: () => true },
  { name: 'for the answer to a question', isMet: false, relevant: ({ type }: RelayedCommand) => type === 'start' }
] as const

for (const sender of senders) {
  for (const { name, isMet, relevant } of waits) {
    for (const relayed of COMMANDS.filter(relevant)) {
      // A permission was looked at before the target was asked, and before the command waited for a connection, and not again.
      test(`withdrawn permission: guards against the failure that ${sender.name} writes a ${relayed.type} that waited ${name}`, async () => {
        const connections = new SlowConnections()
        const check = IncarnationCheck.create({ commands: connections, reporter: SILENT_REPORTER })
        const { withdraw, send } = sender.create(check)
        if (isMet) await check.list(TARGET, QUESTION)
        connections.written.length = 0
        connections.onWait = withdraw
        const response = await send(relayed)
        assert.deepEqual(connections.written.filter((call) => call !== 'question'), [])
        assert.equal(response.type, sender.expected)
        // What was not sent for this reason says nothing of the target, which must not be avoided for it.
        assert.ok(!('reason' in response) || response.reason !== 'incarnation-not-confirmed')
      })
    }
  }
}

for (const sender of senders) {
  test(`withdrawn permission: ${sender.name} has written each command before that`, async () => {
    for (const relayed of COMMANDS) {
      const connections = new SlowConnections()
      const check = IncarnationCheck.create({ commands: connections, reporter: SILENT_REPORTER })
      const { send } = sender.create(check)
      await check.list(TARGET, QUESTION)
      connections.written.length = 0
      const response: RelayedResponse = await send(relayed)
      assert.deepEqual(connections.written, [relayed.type])
      assert.equal(response.type, relayed.type === 'list' ? 'listed' : ACCEPTED.type satisfies CommandResponse['type'])
    }
  })
}
