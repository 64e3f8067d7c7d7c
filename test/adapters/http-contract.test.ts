import { HttpHostList } from '../../src/adapters/http-host-list.ts'
import { HttpStore } from '../../src/adapters/http-store.ts'
import { HttpTargetClient } from '../../src/adapters/http-target-client.ts'
import { serveHostList } from '../../src/standins/host-list-server.ts'
import { serveStore } from '../../src/standins/store-server.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { serveTarget } from '../../src/standins/target-server.ts'
import { InMemoryTarget } from '../../src/standins/target.ts'
import { CAPACITY, createTarget } from '../standins/fixtures.ts'
import { IMPATIENT_MS, PATIENT_MS, overHttp } from './harness.ts'
import { hostListContract } from './host-list-contract.ts'
import { storeContract } from './store-contract.ts'
import { targetContract } from './target-contract.ts'

storeContract('HTTP store', async () => {
  const server = await serveStore(InMemoryStore.create())
  const patient = HttpStore.create({ address: server.address, callTimeoutMs: PATIENT_MS })
  const impatient = HttpStore.create({ address: server.address, callTimeoutMs: IMPATIENT_MS })
  return { patient, impatient, ...overHttp(server, patient, impatient) }
})

targetContract('HTTP target', async () => {
  const standin = InMemoryTarget.create({ capacity: CAPACITY })
  const server = await serveTarget(standin)
  const patient = HttpTargetClient.create({ callTimeoutMs: PATIENT_MS })
  const impatient = HttpTargetClient.create({ callTimeoutMs: IMPATIENT_MS })
  return { target: createTarget('a', server.address), standin, patient, impatient, ...overHttp(server, patient, impatient) }
})

hostListContract('HTTP host list', async (list) => {
  const server = await serveHostList(list)
  const hosts = HttpHostList.create({ address: server.address, callTimeoutMs: IMPATIENT_MS })
  return { hosts, ...overHttp(server, hosts) }
})
