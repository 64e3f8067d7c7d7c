import { request } from 'undici'
import type { Change } from '../model/configuration.ts'
import type { GroupOverview } from '../model/group-request.ts'
import type { DemoCell } from './cell.ts'

const ATTEMPTS = 40
const RETRY_MS = 250
const OK = 200

/**
 * Waits until a member is ready to publish, and publishes changes.
 *
 * @example
 * await publish(cell, changes)
 */
export async function publish (cell: DemoCell, changes: readonly Change[]): Promise<number> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const response = await request(`${cell.addresses[0]}/v1/configuration`, {
      method: 'POST',
      headers: { authorization: `Bearer ${cell.operatorKey}`, 'content-type': 'application/json' },
      body: JSON.stringify({ author: 'demo', changes })
    })
    const body = await response.body.json() as { readonly revision: number }
    if (response.statusCode === OK) return body.revision
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
  }
  throw new Error('the configuration was not accepted')
}

/**
 * What the owners of all groups report.
 *
 * @example
 * const groups = await overview(cell)
 */
export async function overview (cell: DemoCell): Promise<readonly GroupOverview[]> {
  const response = await request(`${cell.addresses[0]}/v1/overview`, { headers: { authorization: `Bearer ${cell.operatorKey}` } })
  const body = await response.body.json() as { readonly groups?: readonly GroupOverview[] }
  return body.groups ?? []
}
