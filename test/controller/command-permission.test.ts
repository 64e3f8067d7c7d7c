import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CommandPermission } from '../../src/controller/commands/command-permission.ts'
import { PermittedCommands } from '../../src/controller/commands/permitted-commands.ts'
import type { CommandClient, CommandResponse, ListResponse } from '../../src/ports/command-client.ts'
import { Moment } from '../../src/util/moment.ts'

const NO_REPORTER = { log: () => {}, count: () => {}, observe: () => {} }
const TARGET = { id: 't1', address: 't1:80' }

type Pause = {
  readonly guards: string
  /** Time that passes on each clock between the last command and the next one, in milliseconds. */
  readonly monotonicMs: number
  readonly timeOfDayMs: number
  /** Whether the store confirms the lease at once, or only later. */
  readonly leaseConfirmed: boolean
  readonly sent: boolean
}

const pauses: readonly Pause[] = [
  { guards: 'a process that was paused sends commands although another member may lead', monotonicMs: 5_000, timeOfDayMs: 5_000, leaseConfirmed: false, sent: false },
  { guards: 'a host whose steady clock stood still in a suspension sends commands although another member may lead', monotonicMs: 0, timeOfDayMs: 5_000, leaseConfirmed: false, sent: false },
  { guards: 'a time of day that was set back hides a pause', monotonicMs: 5_000, timeOfDayMs: -60_000, leaseConfirmed: false, sent: false },
  { guards: 'a leader stops commanding while the store is silent', monotonicMs: 50, timeOfDayMs: 50, leaseConfirmed: false, sent: true },
  { guards: 'a leader whose lease is confirmed after a pause stops commanding', monotonicMs: 5_000, timeOfDayMs: 5_000, leaseConfirmed: true, sent: true }
]

function createCommands (): { readonly commands: CommandClient, readonly sent: string[] } {
  const sent: string[] = []
  const record = (name: string) => async (): Promise<CommandResponse> => {
    sent.push(name)
    return { type: 'accepted', clockMs: 0 }
  }
  const list = async (): Promise<ListResponse> => {
    sent.push('list')
    return { type: 'listed', listing: { incarnation: 1, clockMs: 0, running: [], ended: [] } }
  }
  return { commands: { start: record('start'), stop: record('stop'), throttle: record('throttle'), list }, sent }
}

// A paused leader gave out what it had decided before, on targets that had not seen the later term.
for (const { guards, monotonicMs, timeOfDayMs, leaseConfirmed, sent: isSent } of pauses) {
  test(`command permission: guards against the failure that ${guards}`, async () => {
    let monotonic = 1_000
    let timeOfDay = 1_000_000
    let confirmed = leaseConfirmed
    const permission = CommandPermission.create({ isLeaseConfirmed: () => confirmed, isTermConfirmed: () => true, reporter: NO_REPORTER, clocks: { monotonic: () => monotonic, timeOfDay: () => timeOfDay } })
    const { commands, sent } = createCommands()
    const permitted = PermittedCommands.create(commands, () => permission.isGranted())
    const sendAll = async (): Promise<readonly string[]> => {
      sent.length = 0
      await permitted.start(TARGET, { task: 'a', run: 1, payload: '', leaseUntilMs: 0, epoch: 1, checkpoint: '', ticket: undefined })
      await permitted.stop(TARGET, { task: 'a', run: 1, epoch: 1 })
      await permitted.throttle(TARGET, { task: 'a', run: 1, epoch: 1, percent: 50 })
      await permitted.list(TARGET, { epoch: 1, acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 })
      return [...sent]
    }
    const all = ['start', 'stop', 'throttle', 'list']
    monotonic += monotonicMs
    timeOfDay += timeOfDayMs
    assert.deepEqual(await sendAll(), isSent ? all : [])
    confirmed = true
    assert.deepEqual(await sendAll(), all)
  })
}

const ages = [
  { scenario: 'a host that runs', monotonicMs: 200, timeOfDayMs: 200, ageMs: 200 },
  { scenario: 'a host that was suspended', monotonicMs: 200, timeOfDayMs: 5_200, ageMs: 5_200 },
  { scenario: 'a time of day that was set back', monotonicMs: 200, timeOfDayMs: -900, ageMs: 200 }
]

for (const { scenario, monotonicMs, timeOfDayMs, ageMs } of ages) {
  test(`moment: the age on ${scenario}`, () => {
    let elapsed = false
    const moment = Moment.now({ monotonic: () => elapsed ? monotonicMs : 0, timeOfDay: () => elapsed ? timeOfDayMs : 0 })
    elapsed = true
    assert.equal(moment.ageMs, ageMs)
  })
}
