import { SHORT_TIMEOUT_MS, LONG_TIMEOUT_MS } from '../adapters/harness.ts'
import type { Harness } from '../adapters/harness.ts'
import { hostListContract } from '../adapters/host-list-contract.ts'
import { storeContract } from '../adapters/store-contract.ts'
import { targetContract } from '../adapters/target-contract.ts'
import { InProcessHostList, InProcessStore, InProcessTargetClient } from '../../src/standins/in-process.ts'
import { createStoreDriver, createTargetDriver } from '../../src/standins/standin-drivers.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { InMemoryTarget } from '../../src/standins/target.ts'
import { CAPACITY, createTarget } from './fixtures.ts'

function createHarness (faultInjector: InProcessStore['faultInjector'], driver?: { close: () => void }): Harness {
  return { setFaults: async (faults) => faultInjector.switches.set(faults), silenceConnections: async () => faultInjector.silenceNextCall(), close: async () => driver?.close() }
}

storeContract('in-process store', async () => {
  const driver = createStoreDriver(InMemoryStore.create())
  const patient = InProcessStore.create(driver, LONG_TIMEOUT_MS)
  const impatient = InProcessStore.create(driver, SHORT_TIMEOUT_MS, patient.faultInjector.switches)
  return { longTimeoutStore: patient, shortTimeoutStore: impatient, ...createHarness(impatient.faultInjector, driver) }
})

targetContract('in-process target', async () => {
  const standin = InMemoryTarget.create({ capacity: CAPACITY })
  const driver = createTargetDriver(standin)
  const patient = InProcessTargetClient.create(new Map([['a', driver]]), LONG_TIMEOUT_MS)
  const impatient = InProcessTargetClient.create(new Map([['a', driver]]), SHORT_TIMEOUT_MS, patient.faultInjector.switches)
  return { target: createTarget('a', 'in-process'), standin, longTimeoutClient: patient, shortTimeoutClient: impatient, ...createHarness(impatient.faultInjector, driver) }
})

hostListContract('in-process host list', async (list) => {
  const longTimeoutList = InProcessHostList.create(list, LONG_TIMEOUT_MS)
  const shortTimeoutList = InProcessHostList.create(list, SHORT_TIMEOUT_MS, longTimeoutList.faultInjector.switches)
  return { longTimeoutList, shortTimeoutList, ...createHarness(shortTimeoutList.faultInjector) }
})
