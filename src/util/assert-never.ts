/**
 * Marks the unreachable default case of an exhaustive `switch`.
 *
 * @example
 * switch (shape.kind) { case 'circle': return 1; default: return assertNever(shape) }
 */
export function assertNever (value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}
