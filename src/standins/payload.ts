/**
 * Payload of the work that a stand-in target runs; it determines how the task behaves.
 *
 * runMs: run time; services ignore it and run until stopped. Default 20.
 * output: the output of the task. Default null.
 * fail: whether the task fails when its run time is over. Default false.
 * usageFactor: actual usage of processor and memory divided by the declared one. Default 1.
 */
export type StandinPayload = {
  readonly runMs: number
  readonly output: unknown
  readonly fail: boolean
  readonly usageFactor: number
}

const DEFAULT_RUN_MS = 20

/**
 * Parses a payload; a missing or malformed field gets its default.
 *
 * @example
 * parsePayload({ runMs: 5 }) // { runMs: 5, output: null, fail: false, usageFactor: 1 }
 */
export function parsePayload (payload: unknown): StandinPayload {
  const fields = typeof payload === 'object' && payload !== null ? payload as Record<string, unknown> : {}
  return {
    runMs: parseNonNegative(fields['runMs'], DEFAULT_RUN_MS),
    output: fields['output'] ?? null,
    fail: fields['fail'] === true,
    usageFactor: parseNonNegative(fields['usageFactor'], 1)
  }
}

function parseNonNegative (value: unknown, fallback: number): number {
  return typeof value === 'number' && value >= 0 ? value : fallback
}
