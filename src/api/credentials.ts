import type { IncomingMessage } from 'node:http'
import type { Credential } from '../frontend/event.ts'
import { isOperatorKey, parseTeamKey } from '../util/team-key.ts'
import type { ApiOptions } from './options.ts'

/** The sender of a request. `busy`: the key can't be verified now because too many unknown keys are being verified. */
export type Caller = Credential | { readonly type: 'operator' } | { readonly type: 'busy' }

/**
 * Verifies the bearer key of a request.
 *
 * @example
 * const caller = await identifyCaller(options, request)
 */
export async function identifyCaller (options: ApiOptions, request: IncomingMessage): Promise<Caller> {
  const text = parseBearerKey(request.headers.authorization)
  if (text === undefined) return { type: 'none' }
  const presented = parseTeamKey(text)
  if (presented === undefined) return isOperatorKey(text, options.operatorKeyHash) ? { type: 'operator' } : { type: 'rejected' }
  const key = options.getConfiguration().keys.get(presented.id)
  if (key === undefined) return { type: 'rejected' }
  const check = await options.keyVerifier.verify(presented, key)
  switch (check) {
    case 'valid': return { type: 'key', id: key.id, hash: key.hash }
    case 'wrong': return { type: 'rejected' }
    case 'busy': return { type: 'busy' }
  }
}

function parseBearerKey (header: string | undefined): string | undefined {
  return /^Bearer +(\S+)$/i.exec(header ?? '')?.[1]
}
