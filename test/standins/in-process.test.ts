import { SHORT_TIMEOUT_MS, LONG_TIMEOUT_MS } from '../adapters/harness.ts'
import type { Harness } from '../adapters/harness.ts'
import { hostListContract } from '../adapters/host-list-contract.ts'
import { storeContract } from '../adapters/store-contract.ts'
import { targetContract } from '../adapters/target-contract.ts'
import { InProcessHostList, InProcessStore, InProcessTargetClient } from '../../src/standins/in-process.ts'
import { liveStore, liveTarget } from '../../src/standins/live-machines.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { InMemoryTarget } from '../../src/standins/target.ts'
import { CAPACITY, targetOf } from './fixtures.ts'

function harnessOf (path: InProcessStore['path'], live?: { close: () => void }): Harness {
  return { setFaults: async (faults) => path.switches.set(faults), silenceConnections: async () => path.silence(), close: async () => live?.close() }
}

storeContract('in-process store', async () => {
  const live = liveStore(InMemoryStore.create())
  const patient = InProcessStore.create(live, LONG_TIMEOUT_MS)
  const impatient = InProcessStore.create(live, SHORT_TIMEOUT_MS, patient.path.switches)
  return { longTimeoutStore: patient, shortTimeoutStore: impatient, ...harnessOf(impatient.path, live) }
})

targetContract('in-process target', async () => {
  const standin = InMemoryTarget.create({ capacity: CAPACITY })
  const live = liveTarget(standin)
  const patient = InProcessTargetClient.create(new Map([['a', live]]), LONG_TIMEOUT_MS)
  const impatient = InProcessTargetClient.create(new Map([['a', live]]), SHORT_TIMEOUT_MS, patient.path.switches)
  return { target: targetOf('a', 'in-process'), standin, longTimeoutClient: patient, shortTimeoutClient: impatient, ...harnessOf(impatient.path, live) }
})

hostListContract('in-process host list', async (list) => {
  const hosts = InProcessHostList.create(list, SHORT_TIMEOUT_MS)
  return { hosts, ...harnessOf(hosts.path) }
})
