import { HttpHostList } from '../../src/adapters/http-host-list.ts'
import { HttpStore } from '../../src/adapters/http-store.ts'
import { HttpTargetClient } from '../../src/adapters/http-target-client.ts'
import { serveHostList } from '../../src/standins/host-list-server.ts'
import { serveStore } from '../../src/standins/store-server.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { serveTarget } from '../../src/standins/target-server.ts'
import { InMemoryTarget } from '../../src/standins/target.ts'
import { CAPACITY, createTarget } from '../standins/fixtures.ts'
import { SHORT_TIMEOUT_MS, LONG_TIMEOUT_MS, createHttpHarness } from './harness.ts'
import { hostListContract } from './host-list-contract.ts'
import { storeContract } from './store-contract.ts'
import { targetContract } from './target-contract.ts'

storeContract('HTTP store', async () => {
  const server = await serveStore(InMemoryStore.create())
  const longTimeoutStore = HttpStore.create({ address: server.address, callTimeoutMs: LONG_TIMEOUT_MS })
  const shortTimeoutStore = HttpStore.create({ address: server.address, callTimeoutMs: SHORT_TIMEOUT_MS })
  return { longTimeoutStore, shortTimeoutStore, ...createHttpHarness(server, longTimeoutStore, shortTimeoutStore) }
})

targetContract('HTTP target', async () => {
  const standin = InMemoryTarget.create({ capacity: CAPACITY })
  const server = await serveTarget(standin)
  const longTimeoutClient = HttpTargetClient.create({ callTimeoutMs: LONG_TIMEOUT_MS })
  const shortTimeoutClient = HttpTargetClient.create({ callTimeoutMs: SHORT_TIMEOUT_MS })
  return { target: createTarget('a', server.address), standin, longTimeoutClient, shortTimeoutClient, ...createHttpHarness(server, longTimeoutClient, shortTimeoutClient) }
})

hostListContract('HTTP host list', async (list) => {
  const server = await serveHostList(list)
  const longTimeoutList = HttpHostList.create({ address: server.address, callTimeoutMs: LONG_TIMEOUT_MS })
  const shortTimeoutList = HttpHostList.create({ address: server.address, callTimeoutMs: SHORT_TIMEOUT_MS })
  return { longTimeoutList, shortTimeoutList, ...createHttpHarness(server, longTimeoutList, shortTimeoutList) }
})
