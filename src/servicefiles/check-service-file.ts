import { err, ok, type Result } from 'neverthrow'
import type { Problem } from '../model/problem.ts'
import { parseJsonDocument, type JsonDocument } from '../util/json-document.ts'
import { checkShape } from '../util/json-shape.ts'
import { SERVICE_FILE_SHAPE, type ServiceFile } from './service-file.ts'

/** Maximum size of a service file; larger files are refused before they are parsed. A file with 340 teams has about 100 kB. */
export const SERVICE_FILE_LIMIT_BYTES = 4_194_304

/** A service file that is valid by itself, with its name and document to locate problems with other files. */
export type CheckedFile = { readonly file: string, readonly content: ServiceFile, readonly document: JsonDocument }

/**
 * Checks the text of one service file; references to other entries are not checked.
 *
 * @example
 * checkServiceFile('{ "queues": [{ "name": "orders", "team": "stock" }] }', 'stock.damaskfield.json')
 */
export function checkServiceFile (text: string, file: string): Result<CheckedFile, readonly Problem[]> {
  if (Buffer.byteLength(text) > SERVICE_FILE_LIMIT_BYTES) {
    return err([{ code: 'too-large', file, pointer: '', found: `${Buffer.byteLength(text)} bytes`, allowed: `at most ${SERVICE_FILE_LIMIT_BYTES} bytes` }])
  }
  return parseJsonDocument(text).match(
    (document) => {
      const { value, problems } = checkShape(document, file, SERVICE_FILE_SHAPE)
      return problems.length > 0 ? err(problems) : ok({ file, content: value as ServiceFile, document })
    },
    ({ line, found, allowed }) => err([{ code: 'broken-json', file, pointer: '', line, found, allowed }])
  )
}

/**
 * Formats a service file; `checkServiceFile` returns the same content for this text.
 *
 * @example
 * checkServiceFile(formatServiceFile(content), 'copy.damaskfield.json')
 */
export function formatServiceFile (content: ServiceFile): string {
  return `${JSON.stringify(content, null, 2)}\n`
}
