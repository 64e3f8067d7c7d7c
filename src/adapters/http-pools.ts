import { AddressTable } from './address-table.ts'
import { HttpPool } from './http-pool.ts'
import type { HttpPoolOptions } from './http-pool.ts'

/** Connection pools by peer address. */
export type HttpPools = AddressTable<HttpPool>

/**
 * Creates a table with one pool for each peer address. `get` returns undefined for an address that is not `http://…`.
 *
 * @example
 * const pools = createHttpPools({ maxConnections: 4 })
 * pools.get('http://127.0.0.1:9001')
 */
export function createHttpPools (options: Omit<HttpPoolOptions, 'origin'>): HttpPools {
  return AddressTable.create((address) => {
    return isHttpAddress(address) ? HttpPool.create({ ...options, origin: address }) : undefined
  })
}

function isHttpAddress (address: string): boolean {
  return URL.canParse(address) && new URL(address).protocol === 'http:'
}
