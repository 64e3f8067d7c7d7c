import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { ok } from 'neverthrow'
import { Controller } from '../../src/controller/controller.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { DEFAULT_CELL_OPTIONS } from '../../src/workflow/options.ts'
import { buildEntry } from '../workflow/harness.ts'
import { LISTED, RecordingClient, RelayNetwork, SILENT_REPORTER, buildPeer } from './relay-harness.ts'

const TARGETS = 245
const TARGET_PREFIX = 'servers/'
const WATCH_INTERVAL_MS = 50
const RESPONSE_MS = 20

type Setup = { readonly controller: Controller, readonly direct: RecordingClient, readonly network: RelayNetwork }

/** A new leader of a large cell with two other members, whose store holds all targets. */
function startLeader (): Setup {
  const inner = InMemoryStore.create()
  const puts = Array.from({ length: TARGETS }, (_, index) => ({ key: `${TARGET_PREFIX}t${index}`, value: '{}' }))
  inner.call(0, { type: 'transact', compares: [], puts, deletes: [] })
  const [direct, network] = [new RecordingClient(), new RelayNetwork()]
  network.timeOfDay = Date.now()
  direct.list = async ({ id }) => {
    direct.calls.push(`list ${id}`)
    return wait(RESPONSE_MS, LISTED)
  }
  const self = { member: 'leader', address: 'leader:1', failureDomain: 'east', cores: 1 }
  const controller = Controller.create({
    store: {
      call: async (call) => {
        const response = inner.call(0, call)
        if (response !== 'waiting') return ok(response)
        await wait(WATCH_INTERVAL_MS)
        return ok({ type: 'watch', changes: [], version: inner.version, compacted: false })
      }
    },
    term: { term: 3, commitVersion: inner.version, unsettled: [] },
    commands: direct,
    openRelayStream: network.open,
    advisor: { advise: async () => ({ type: 'failed', reason: 'timeout' }) },
    self,
    reporter: SILENT_REPORTER,
    leaseMs: DEFAULT_CELL_OPTIONS.leaseMs,
    longestLeaseMs: DEFAULT_CELL_OPTIONS.longestLeaseMs,
    targetPrefix: TARGET_PREFIX,
    parseTarget: (key) => ({ ...buildEntry(key.slice(TARGET_PREFIX.length)), failureDomain: 'east' }),
    requestPeerAdvice: async () => ({ type: 'failed', reason: 'timeout' }),
    requestCachedAdvice: async () => [],
    requestStandDown: async () => undefined,
    standDown: () => ({ type: 'never-led', quietForMs: 0 }),
    isLeaseConfirmed: () => true,
    getAloneUntil: () => performance.now(),
    onFenced: () => {}
  })
  controller.recordPeer(buildPeer(1))
  controller.recordPeer(buildPeer(2))
  return { controller, direct, network }
}

function countListedTargets ({ network }: Setup): number {
  return new Set([...network.clients.values()].flatMap(({ calls }) => calls)).size
}

// A new leader called all targets itself before it had chosen relays. 186 of 250 first listings timed out on 1.35 cores, and
// the runs on targets that were lost in the meantime stayed unknown until their leases had lapsed.
test('first listing: guards against the failure that a new leader of a large cell calls all targets itself', async () => {
  const setup = startLeader()
  while (countListedTargets(setup) + setup.direct.calls.length < TARGETS) await wait(5)
  setup.controller.stop()
  assert.equal(setup.direct.calls.length, 0)
  assert.equal(countListedTargets(setup), TARGETS)
})
