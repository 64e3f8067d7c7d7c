import type { TargetId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import { clockNow } from './clock.ts'
import type { InMemoryHostList } from './host-list.ts'
import { StandinServer } from './http-server.ts'
import type { HttpResponse } from './http-server.ts'

/**
 * Serves a host list over HTTP. `POST /admin/hosts` accepts `{ "put": target }`, `{ "remove": id }`,
 * `{ "id": id, "state": "leaving" }` or `{ "lagMs": 500 }`.
 *
 * Wire format: `{ "known": 3 }` is the version that the reader has. The response is 200 `{ "answer": { "targets": [],
 * "ageMs": 0 }, "version": 4 }`, or `{ "unchangedAgeMs": 0, "version": 3 }` if the reader has the current version; 503
 * during an outage.
 *
 * @example
 * const server = await serveHostList(InMemoryHostList.create({ targets }))
 */
export async function serveHostList (list: InMemoryHostList, port = 0): Promise<StandinServer> {
  return StandinServer.listen({
    port,
    call: (body) => Promise.resolve({ status: 200, body: createListResponse(list, (body as ReadRequest | null)?.known) }),
    admin: { hosts: (body) => applyHostChange(list, body as HostChange) }
  })
}

type ReadRequest = { readonly known?: number }

function createListResponse (list: InMemoryHostList, known: number | undefined): unknown {
  const listing = list.read(clockNow())
  const { version } = list
  return known === version ? { unchangedAgeMs: listing.ageMs, version } : { answer: listing, version }
}

type HostChange = {
  readonly put?: Target
  readonly remove?: TargetId
  readonly id?: TargetId
  readonly state?: Target['state']
  readonly lagMs?: number
}

function applyHostChange (list: InMemoryHostList, change: HostChange): Promise<HttpResponse> {
  const now = clockNow()
  if (change.put !== undefined) list.put(now, change.put)
  if (change.remove !== undefined) list.remove(now, change.remove)
  if (change.id !== undefined && change.state !== undefined) list.setState(now, change.id, change.state)
  if (change.lagMs !== undefined) list.setLag(change.lagMs)
  return Promise.resolve({ status: 200, body: {} })
}
