import { setTimeout as wait } from 'node:timers/promises'
import type { CommandClient, CommandResponse, ListResponse } from '../../src/ports/command-client.ts'
import type { Peer } from '../../src/controller/member-call.ts'
import { CommandRelay } from '../../src/controller/commands/command-relay.ts'
import { RELAY_BATCH_MS } from '../../src/controller/commands/relay-message.ts'
import type { RelayReply, RelayRequest, RelayStreamEvents, RelayStreamOpener } from '../../src/controller/commands/relay-message.ts'
import type { Reporter } from '../../src/controller/reporter.ts'

export const SILENT_REPORTER: Reporter = { log: () => {}, count: () => {}, observe: () => {} }
export const TARGET = { id: 't1', address: 't1:80' }
export const START = { task: 'a.0.0.0', run: 1, payload: 'p', leaseUntilMs: 4_000, epoch: 3, checkpoint: '', ticket: undefined }
export const STOP = { task: 'a.0.0.0', run: 1, epoch: 3 }
export const LIST = { epoch: 3, acknowledged: 0, leaseUntilMs: 4_000, waitMs: 1_000 }
export const LISTED: ListResponse = { type: 'listed', listing: { incarnation: 1, clockMs: 500, running: [], ended: [] } }

const HOPS = 4

/**
 * Waits until a command and its response have passed the relay. Timers of equal duration fire in the order in which they
 * were set, so that each wait outlasts one hop, however busy the process is.
 */
export async function settle (): Promise<void> {
  for (let hop = 0; hop < HOPS; hop += 1) await wait(RELAY_BATCH_MS)
}

/** Builds the member `m<number>` of a failure domain. */
export function buildPeer (number: number, failureDomain = 'east', cores = 1): Peer {
  return { member: `m${number}`, address: `m${number}:1`, failureDomain, cores, bindsCommands: true }
}

/** Records the commands that it gets and responds to each. */
export class RecordingClient implements CommandClient {
  readonly calls: string[] = []
  response: CommandResponse = { type: 'accepted', clockMs: 500 }
  listing: ListResponse = LISTED

  start: CommandClient['start'] = ({ id }, { task, run }) => this.record(`start ${id} ${task} ${run}`, this.response)
  stop: CommandClient['stop'] = ({ id }, { task, run }) => this.record(`stop ${id} ${task} ${run}`, this.response)
  throttle: CommandClient['throttle'] = ({ id }, { task, run }) => this.record(`throttle ${id} ${task} ${run}`, this.response)
  list: CommandClient['list'] = ({ id }) => this.record(`list ${id}`, this.listing)

  private async record<Response> (call: string, response: Response): Promise<Response> {
    this.calls.push(call)
    return response
  }
}

/**
 * Connects streams to relays in this process. `silence` withholds the messages in both directions without an error, `cut`
 * ends the streams of a relay.
 */
export class RelayNetwork {
  readonly opened: string[] = []
  readonly clients = new Map<string, RecordingClient>()
  private readonly silent = new Set<string>()
  private readonly streams: Array<{ readonly address: string, readonly events: RelayStreamEvents }> = []
  timeOfDay = 1_000_000
  latestTerm = 3

  readonly open: RelayStreamOpener = (address, events) => {
    this.opened.push(address)
    this.streams.push({ address, events })
    const relay = CommandRelay.create({ commands: this.getClient(address), reporter: SILENT_REPORTER, getLatestTerm: () => this.latestTerm, now: () => this.timeOfDay })
    const session = relay.open((reply: RelayReply) => { if (!this.silent.has(address)) events.onReply(reply) })
    return {
      send: (request: RelayRequest) => { if (!this.silent.has(address)) session.handle(request) },
      close: () => session.close()
    }
  }

  getClient (address: string): RecordingClient {
    const known = this.clients.get(address)
    if (known !== undefined) return known
    const client = new RecordingClient()
    this.clients.set(address, client)
    return client
  }

  silence (address: string): void {
    this.silent.add(address)
  }

  cut (address: string): void {
    for (const stream of this.streams) {
      if (stream.address === address) stream.events.onClosed('reset')
    }
  }
}
