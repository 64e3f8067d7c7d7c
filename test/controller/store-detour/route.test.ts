import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Peer } from '../../../src/controller/member-call.ts'
import { orderProxies } from '../../../src/controller/store-detour/proxy-order.ts'
import { INITIAL_ROUTE, advanceRoute, isDirectTrialDue, isSearchDue } from '../../../src/controller/store-detour/route.ts'
import type { Route, RouteEvent } from '../../../src/controller/store-detour/route.ts'

const NOW = 10_000
const PROXY: Peer = { member: 'm2', address: 'm2:1' }
const OTHER: Peer = { member: 'm3', address: 'm3:1' }
const DIRECT: Route = { type: 'direct', searchedAt: 0 }
const DETOUR: Route = { type: 'detour', proxy: PROXY, since: 5_000, directTriedAt: 9_500 }
const SEARCHING: Route = { type: 'searching', detouredSince: undefined }
const LOST: Route = { type: 'lost', searchedAt: 9_500 }
const FOUND_OTHER: RouteEvent = { type: 'search-ended', found: { type: 'proxy', proxy: OTHER } }

const steps: ReadonlyArray<{ readonly guards: string, readonly route: Route, readonly event: RouteEvent, readonly expected: Route }> = [
  { guards: 'a member goes on with its own way after that has failed', route: INITIAL_ROUTE, event: { type: 'direct-failed' }, expected: SEARCHING },
  { guards: 'a way that fails now and then causes a search with each call', route: { ...DIRECT, searchedAt: 9_500 }, event: { type: 'direct-failed' }, expected: { ...DIRECT, searchedAt: 9_500 } },
  { guards: 'a proxy that has failed is kept', route: DETOUR, event: { type: 'proxy-failed', proxy: PROXY }, expected: { type: 'searching', detouredSince: 5_000 } },
  { guards: 'the failure of an earlier proxy ends the detour through the next one', route: { ...DETOUR, proxy: OTHER }, event: { type: 'proxy-failed', proxy: PROXY }, expected: { ...DETOUR, proxy: OTHER } },
  { guards: 'a change of the proxy counts as another detour', route: { type: 'searching', detouredSince: 5_000 }, event: FOUND_OTHER, expected: { ...DETOUR, proxy: OTHER, directTriedAt: NOW } },
  { guards: 'a search that ends late replaces an own way that works again', route: DIRECT, event: FOUND_OTHER, expected: DIRECT },
  { guards: 'calls wait for searches while nobody reaches the store', route: SEARCHING, event: { type: 'search-ended', found: { type: 'none' } }, expected: { ...LOST, searchedAt: NOW } },
  { guards: 'a member without a way does not use a proxy that is found later', route: LOST, event: FOUND_OTHER, expected: { ...DETOUR, proxy: OTHER, since: NOW, directTriedAt: NOW } },
  { guards: 'the detour goes on after the own way works again', route: DETOUR, event: { type: 'direct-worked' }, expected: INITIAL_ROUTE }
]

for (const { guards, route, event, expected } of steps) {
  test(`store detour: guards against the failure that ${guards}`, () => assert.deepEqual(advanceRoute(route, event, NOW), expected))
}

const dues: ReadonlyArray<{ readonly guards: string, readonly due: boolean, readonly expected: boolean }> = [
  { guards: 'the store is searched more often than once a second while it is lost', due: isSearchDue(LOST, NOW), expected: false },
  { guards: 'the search is not repeated', due: isSearchDue(LOST, NOW + 500), expected: true },
  { guards: 'the own way is tried with each call', due: isDirectTrialDue(DETOUR, NOW), expected: false },
  { guards: 'the own way is not tried again', due: isDirectTrialDue(DETOUR, NOW + 500), expected: true }
]

for (const { guards, due, expected } of dues) {
  test(`store detour: guards against the failure that ${guards}`, () => assert.equal(due, expected))
}

const EAST: Peer = { member: 'm4', address: 'm4:1', failureDomain: 'east' }
const WEST: Peer = { member: 'm5', address: 'm5:1', failureDomain: 'west' }

const orders = [
  { guards: 'a member of another failure domain is used first', candidates: [WEST, EAST], failed: [], expected: [EAST, WEST] },
  { guards: 'the leader is given the calls of others while another member can make them', candidates: [EAST, WEST], failed: [], leader: EAST.address, expected: [WEST, EAST] },
  { guards: 'a member that has just failed is tried before one that has not', candidates: [EAST, WEST], failed: [EAST.address], expected: [WEST, EAST] },
  { guards: 'the leader is tried after a member that has just failed', candidates: [EAST, WEST], failed: [WEST.address], leader: EAST.address, expected: [EAST, WEST] },
  { guards: 'two members without a failure domain count as neighbours', candidates: [OTHER, EAST], failed: [], expected: [EAST, OTHER] }
]

for (const { guards, candidates, failed, leader, expected } of orders) {
  test(`store detour: guards against the failure that ${guards}`, () => {
    assert.deepEqual(orderProxies({ candidates, ownDomain: 'east', leader, failedAt: new Map(failed.map((address) => [address, NOW - 1_000])), now: NOW }), expected)
  })
}
