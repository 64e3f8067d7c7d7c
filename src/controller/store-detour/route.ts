import { assertNever } from '../../util/assert-never.ts'
import type { Peer } from '../member-call.ts'

/** Minimum time between two searches for a way to the store, in milliseconds. */
const SEARCH_INTERVAL_MS = 1_000
/** How often a member that uses a proxy tries its own way again, in milliseconds. */
const DIRECT_TRIAL_INTERVAL_MS = 1_000

/**
 * How a member reaches the store. Times are on the monotonic clock, in milliseconds.
 *
 * direct: by its own calls. searching: these or those of the proxy fail; calls wait until the search ends. detour: through another
 * member. lost: neither way works; calls are made as without the detour, and the search is repeated beside them.
 */
export type Route =
  | { readonly type: 'direct', readonly searchedAt: number }
  | { readonly type: 'searching', readonly detouredSince: number | undefined }
  | { readonly type: 'detour', readonly proxy: Peer, readonly since: number, readonly directTriedAt: number }
  | { readonly type: 'lost', readonly searchedAt: number }

/** What a search has found first. */
export type FoundWay = { readonly type: 'direct' } | { readonly type: 'proxy', readonly proxy: Peer } | { readonly type: 'none' }

/** `direct-tried`: a trial of the own way begins, beside the detour. */
export type RouteEvent =
  | { readonly type: 'direct-failed' }
  | { readonly type: 'direct-worked' }
  | { readonly type: 'direct-tried' }
  | { readonly type: 'proxy-failed', readonly proxy: Peer }
  | { readonly type: 'search-ended', readonly found: FoundWay }

/** The route of a member that has not called the store yet. */
export const INITIAL_ROUTE: Route = { type: 'direct', searchedAt: -Infinity }

/**
 * Computes the route after an event.
 *
 * @example
 * advanceRoute(INITIAL_ROUTE, { type: 'direct-failed' }, performance.now()) // { type: 'searching', detouredSince: undefined }
 */
export function advanceRoute (route: Route, event: RouteEvent, now: number): Route {
  switch (event.type) {
    case 'direct-failed': return route.type === 'direct' && now - route.searchedAt >= SEARCH_INTERVAL_MS ? { type: 'searching', detouredSince: undefined } : route
    case 'direct-worked': return route.type === 'direct' ? route : { type: 'direct', searchedAt: -Infinity }
    case 'direct-tried': return route.type === 'detour' ? { ...route, directTriedAt: now } : route
    case 'proxy-failed': return route.type === 'detour' && route.proxy.address === event.proxy.address ? { type: 'searching', detouredSince: route.since } : route
    case 'search-ended': return route.type === 'searching' || route.type === 'lost' ? endSearch(route, event.found, now) : route
    default: return assertNever(event)
  }
}

/** Whether a search is to be started after a call has failed; one that goes on already counts as well. */
export function isSearchDue (route: Route, now: number): boolean {
  return route.type === 'searching' || (route.type === 'lost' && now - route.searchedAt >= SEARCH_INTERVAL_MS)
}

/** Whether the own way is to be tried beside the detour. */
export function isDirectTrialDue (route: Route, now: number): boolean {
  return route.type === 'detour' && now - route.directTriedAt >= DIRECT_TRIAL_INTERVAL_MS
}

/** Since when a member uses proxies, also while it looks for another one; undefined if it does not. */
export function findDetourStart (route: Route): number | undefined {
  switch (route.type) {
    case 'detour': return route.since
    case 'searching': return route.detouredSince
    case 'direct':
    case 'lost': return undefined
    default: return assertNever(route)
  }
}

function endSearch (route: Route, found: FoundWay, now: number): Route {
  switch (found.type) {
    case 'direct': return { type: 'direct', searchedAt: now }
    case 'proxy': return { type: 'detour', proxy: found.proxy, since: findDetourStart(route) ?? now, directTriedAt: now }
    case 'none': return { type: 'lost', searchedAt: now }
    default: return assertNever(found)
  }
}
