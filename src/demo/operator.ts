import { request } from 'undici'
import type { Change } from '../model/configuration.ts'
import type { GroupOverview } from '../model/group-request.ts'
import type { DemoCell } from './cell.ts'

const MAX_ATTEMPTS = 40
const RETRY_DELAY_MS = 250
const HTTP_OK = 200

/**
 * Publishes changes, and retries until the member accepts them; returns the revision.
 *
 * @example
 * await publishChanges(cell, changes)
 */
export async function publishChanges (cell: DemoCell, changes: readonly Change[]): Promise<number> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const response = await request(`${cell.addresses[0]}/v1/configuration`, {
      method: 'POST',
      headers: { authorization: `Bearer ${cell.operatorKey}`, 'content-type': 'application/json' },
      body: JSON.stringify({ author: 'demo', changes })
    })
    const body = await response.body.json() as { readonly revision: number }
    if (response.statusCode === HTTP_OK) return body.revision
    await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS))
  }
  throw new Error('the configuration was not accepted')
}

/**
 * Reads the state that the owners of all groups report.
 *
 * @example
 * const groups = await readOverview(cell)
 */
export async function readOverview (cell: DemoCell): Promise<readonly GroupOverview[]> {
  const response = await request(`${cell.addresses[0]}/v1/overview`, { headers: { authorization: `Bearer ${cell.operatorKey}` } })
  const body = await response.body.json() as { readonly groups?: readonly GroupOverview[] }
  return body.groups ?? []
}
