import type { RunTimeSums } from './run-time-statistics.ts'

/** Version of the record; a record of another version is not read. */
const RECORD_VERSION = 1
/** Largest number of a sum, in runs, seconds and their squares: larger ones are damaged. */
const MAX_SUM = 1e15
const SUM_NAMES = ['runs', 'weight', 'x', 'y', 'xx', 'xy', 'yy'] as const

/**
 * Formats what was learned of each queue.
 *
 * @example
 * formatRunTimes(new Map([['stock', statistics.sums]])) // '{"version":1,"queues":{"stock":{"runs":412,…}}}'
 */
export function formatRunTimes (queues: ReadonlyMap<string, RunTimeSums>): string {
  const rounded = [...queues].map(([queue, sums]) => [queue, Object.fromEntries(SUM_NAMES.map((name) => [name, Number(sums[name].toPrecision(8))]))] as const)
  return JSON.stringify({ version: RECORD_VERSION, queues: Object.fromEntries(rounded) })
}

/** Reads a stored record; undefined if it is damaged or of another version. Damaged queues are left out. */
export function parseRunTimes (text: string): ReadonlyMap<string, RunTimeSums> | undefined {
  const record = parseObject(text)
  if (record?.version !== RECORD_VERSION || !isObject(record.queues)) return undefined
  const queues = Object.entries(record.queues)
  return new Map(queues.filter((entry): entry is [string, RunTimeSums] => isRunTimeSums(entry[1])))
}

function parseObject (text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isObject(value) ? value : undefined
  } catch {
    return undefined
  }
}

/** Whether the sums can be those of runs: a mean of squares is at least the square of the mean, apart from rounding. */
function isRunTimeSums (value: unknown): value is RunTimeSums {
  if (!isObject(value) || !SUM_NAMES.every((name) => isSum(value[name]))) return false
  const { runs, weight, x, y, xx, yy } = value as RunTimeSums
  const areSquares = (sum: number, squares: number): boolean => squares * weight >= sum * sum * (1 - 1e-6)
  return Number.isSafeInteger(runs) && weight > 0 && weight <= runs && areSquares(x, xx) && areSquares(y, yy)
}

function isSum (value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= MAX_SUM
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
