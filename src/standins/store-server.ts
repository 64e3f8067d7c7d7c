import type { StoreCall } from '../ports/store.ts'
import { StandinServer } from './http-server.ts'
import type { HttpResponse } from './http-server.ts'
import type { StoreDriver } from './standin-drivers.ts'
import { createStoreDriver } from './standin-drivers.ts'
import type { InMemoryStore } from './store.ts'
import { isTooLarge } from './store.ts'

/**
 * Serves a store over HTTP. `POST /admin/counts` returns the number of calls of each type and the version.
 *
 * Wire format: the request is the call as JSON. The response is 200 `{ "answer": … }`, 413 for a value that is too
 * large, and 503 during an outage.
 *
 * @example
 * const server = await serveStore(InMemoryStore.create())
 */
export async function serveStore (store: InMemoryStore, port = 0): Promise<StandinServer> {
  const driver = createStoreDriver(store)
  return StandinServer.listen({
    port,
    call: (body) => handleStoreCall(driver, body as StoreCall),
    admin: { counts: () => Promise.resolve({ status: 200, body: { counts: store.counts, version: store.version } }) },
    onClose: () => driver.close()
  })
}

async function handleStoreCall (driver: StoreDriver, call: StoreCall): Promise<HttpResponse> {
  if (isTooLarge(call)) return { status: 413, body: {} }
  return { status: 200, body: { answer: await driver.call(call) } }
}
