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

const NAME_SHAPE: JsonShape = { type: 'text', format: 'name of 1 to 64 letters, digits, dots, dashes and underscores', pattern: /^[\w.-]{1,64}$/ }

function createAmountField (min: number, fallback?: number): JsonField {
  return { shape: { type: 'number', integer: true, min, max: MAX_AMOUNT }, default: fallback }
}

const RESOURCES_SHAPE: JsonShape = {
  type: 'record',
  fields: {
    cpuMillis: createAmountField(0, 0),
    memoryMiB: createAmountField(0, 0),
    accelerators: createAmountField(0, 0),
    slots: createAmountField(1, 1),
    connections: createAmountField(0, 0)
  }
}

const COMMON_FIELDS: Readonly<Record<string, JsonField>> = {
  queue: { shape: NAME_SHAPE },
  family: { shape: NAME_SHAPE, optional: true },
  resources: { shape: RESOURCES_SHAPE },
  expectedMs: { shape: { type: 'number', integer: true, min: 0, max: YEAR_MS }, default: 0 },
  urgent: { shape: { type: 'boolean' }, default: false },
  idempotent: { shape: { type: 'boolean' }, default: false },
  payload: { shape: { type: 'any' }, default: null }
}

const REQUEST_SHAPE: JsonShape = {
  type: 'record',
  fields: { ...COMMON_FIELDS, timeoutMs: { shape: { type: 'number', integer: true, min: 1, max: DAY_MS }, default: DEFAULT_TIMEOUT_MS } }
}

const JOB_SHAPE: JsonShape = {
  type: 'record',
  fields: {
    ...COMMON_FIELDS,
    kind: { shape: { type: 'choice', options: ['service', 'batch', 'gang'] } },
    count: { shape: { type: 'number', integer: true, min: 1, max: MAX_TASKS }, default: 1 }
  }
}

type Body = Omit<Submission, 'kind' | 'timeoutMs' | 'family'> & { readonly kind?: Submission['kind'], readonly timeoutMs?: number, readonly family?: string }

/**
 * Parses and validates the submission in a JSON body; returns all problems of an invalid body.
 *
 * @example
 * parseSubmission('{"queue":"alarms","resources":{}}', 'request')
 */
export function parseSubmission (text: string, expectedKind: 'request' | 'job'): Result<Submission, readonly Problem[]> {
  const document = parseJsonDocument(text)
  if (document.isErr()) return err([{ code: 'broken-json', file: 'body', pointer: '', ...document.error }])
  const { value, problems } = checkShape(document.value, 'body', expectedKind === 'request' ? REQUEST_SHAPE : JOB_SHAPE)
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
