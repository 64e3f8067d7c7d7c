import { err, ok, type Result } from 'neverthrow'
import type { Submission } from '../frontend/event.ts'
import type { Problem } from '../model/problem.ts'
import { parseJsonDocument } from '../util/json-document.ts'
import { checkShape, type JsonField, type JsonShape } from '../util/json-shape.ts'

const MAX_AMOUNT = 1_000_000_000
const MAX_TASKS = 100_000
const DAY_MS = 86_400_000
const YEAR_MS = 31_536_000_000
const DEFAULT_TIMEOUT_MS = 30_000

const NAME: JsonShape = { type: 'text', format: 'name of 1 to 64 letters, digits, dots, dashes and underscores', pattern: /^[\w.-]{1,64}$/ }

function amount (min: number, fallback?: number): JsonField {
  return { shape: { type: 'number', integer: true, min, max: MAX_AMOUNT }, default: fallback }
}

const RESOURCES: JsonShape = {
  type: 'record',
  fields: {
    cpuMillis: amount(0, 0),
    memoryMiB: amount(0, 0),
    accelerators: amount(0, 0),
    slots: amount(1, 1),
    connections: amount(0, 0)
  }
}

const COMMON: Readonly<Record<string, JsonField>> = {
  queue: { shape: NAME },
  family: { shape: NAME, optional: true },
  resources: { shape: RESOURCES },
  expectedMs: { shape: { type: 'number', integer: true, min: 0, max: YEAR_MS }, default: 0 },
  urgent: { shape: { type: 'boolean' }, default: false },
  idempotent: { shape: { type: 'boolean' }, default: false },
  payload: { shape: { type: 'any' }, default: null }
}

const REQUEST: JsonShape = {
  type: 'record',
  fields: { ...COMMON, timeoutMs: { shape: { type: 'number', integer: true, min: 1, max: DAY_MS }, default: DEFAULT_TIMEOUT_MS } }
}

const JOB: JsonShape = {
  type: 'record',
  fields: {
    ...COMMON,
    kind: { shape: { type: 'choice', options: ['service', 'batch', 'gang'] } },
    count: { shape: { type: 'number', integer: true, min: 1, max: MAX_TASKS }, default: 1 }
  }
}

type Body = Omit<Submission, 'kind' | 'timeoutMs' | 'family'> & { readonly kind?: Submission['kind'], readonly timeoutMs?: number, readonly family?: string }

/**
 * The submission in a JSON body, or everything that is wrong with it.
 *
 * @example
 * parseSubmission('{"queue":"alarms","resources":{}}', 'request')
 */
export function parseSubmission (text: string, expected: 'request' | 'job'): Result<Submission, readonly Problem[]> {
  const document = parseJsonDocument(text)
  if (document.isErr()) return err([{ code: 'broken-json', file: 'body', pointer: '', ...document.error }])
  const { value, problems } = checkShape(document.value, 'body', expected === 'request' ? REQUEST : JOB)
  if (problems.length > 0) return err(problems)
  const body = value as Body
  return ok({
    kind: body.kind ?? 'request',
    queue: body.queue,
    count: body.count ?? 1,
    family: body.family ?? body.queue,
    resources: body.resources,
    expectedMs: body.expectedMs,
    urgent: body.urgent,
    idempotent: body.idempotent,
    payload: body.payload ?? null,
    timeoutMs: body.timeoutMs ?? 0
  })
}
