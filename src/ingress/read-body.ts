import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { decodeUtf8 } from '../util/decode-utf8.ts'
import { BodyBuffer } from './body-buffer.ts'
import type { Ingress } from './ingress.ts'
import { getConnection } from './ingress-port.ts'

/** Why a body could not be read. `overloaded`: nothing of the request has taken effect, and it may be sent again. */
export type BodyError = 'too-large' | 'interrupted' | 'not-utf8' | 'overloaded'

/**
 * Reads the body of a request, up to a limit in bytes. One that is declared too large is not read at all, and the reading of
 * one that gets too large ends there.
 *
 * @example
 * const body = await readBody(ingress, request, response, 262_144)
 */
export function readBody (ingress: Ingress, request: IncomingMessage, response: ServerResponse, limitBytes: number): Promise<Result<string, BodyError>> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) return Promise.resolve(err('too-large'))
  const connection = getConnection(request)
  const buffer = BodyBuffer.create(limitBytes)
  return new Promise((resolve) => {
    const settle = (result: Result<string, BodyError>): void => {
      request.off('data', append).off('end', complete).off('close', interrupt)
      if (connection !== undefined) connection.abortBody = undefined
      if (result.isErr()) connection?.setBodyBytes(0)
      if (result.isErr() && !request.complete) connection?.refuseFurther()
      resolve(result)
    }
    const append = (part: Buffer): void => {
      const capacity = buffer.capacity
      if (!buffer.append(part)) return settle(err('too-large'))
      if (buffer.capacity === capacity || connection === undefined) return
      connection.setBodyBytes(buffer.capacity)
      ingress.enforceBytes(connection)
    }
    const complete = (): void => {
      const text = decodeUtf8(buffer.toBytes())
      settle(text === undefined ? err('not-utf8') : ok(text))
    }
    const interrupt = (): void => settle(err('interrupted'))
    if (connection !== undefined) connection.abortBody = (reason) => settle(err(reason))
    if (isContinueExpected(request)) response.writeContinue()
    request.on('data', append).on('end', complete).on('close', interrupt)
  })
}

function isContinueExpected (request: IncomingMessage): boolean {
  return request.headers.expect?.toLowerCase() === '100-continue'
}
