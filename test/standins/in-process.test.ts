import { IMPATIENT_MS, PATIENT_MS } from '../adapters/harness.ts'
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
  return { set: async (faults) => faultInjector.switches.set(faults), silence: async () => faultInjector.silenceNextCall(), close: async () => driver?.close() }
}

storeContract('in-process store', async () => {
  const driver = createStoreDriver(InMemoryStore.create())
  const patient = InProcessStore.create(driver, PATIENT_MS)
  const impatient = InProcessStore.create(driver, IMPATIENT_MS, patient.faultInjector.switches)
  return { patient, impatient, ...createHarness(impatient.faultInjector, driver) }
})

targetContract('in-process target', async () => {
  const standin = InMemoryTarget.create({ capacity: CAPACITY })
  const driver = createTargetDriver(standin)
  const patient = InProcessTargetClient.create(new Map([['a', driver]]), PATIENT_MS)
  const impatient = InProcessTargetClient.create(new Map([['a', driver]]), IMPATIENT_MS, patient.faultInjector.switches)
  return { target: createTarget('a', 'in-process'), standin, patient, impatient, ...createHarness(impatient.faultInjector, driver) }
})

hostListContract('in-process host list', async (list) => {
  const hosts = InProcessHostList.create(list, IMPATIENT_MS)
  return { hosts, ...createHarness(hosts.faultInjector) }
})
