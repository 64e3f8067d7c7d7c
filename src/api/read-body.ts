import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { decodeUtf8 } from '../util/decode-utf8.ts'

/** Why a body could not be read. */
export type BodyError = 'too-large' | 'interrupted' | 'not-utf8'

/**
 * Reads the body of a request, up to a limit in bytes.
 *
 * @example
 * await readBody(request, 1_048_576)
 */
export async function readBody (request: IncomingMessage, limitBytes: number): Promise<Result<string, BodyError>> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) return err('too-large')
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > limitBytes) return err('too-large')
      chunks.push(chunk)
    }
  } catch {
    return err('interrupted')
  }
  const text = decodeUtf8(Buffer.concat(chunks))
  return text === undefined ? err('not-utf8') : ok(text)
}
