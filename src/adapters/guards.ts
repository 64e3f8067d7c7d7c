/**
 * Checks a value that was received over the network. A guard returns whether the value has the type; it never throws.
 *
 * @example
 * const isPoint = isShape({ x: isNumber, y: isNumber })
 * isPoint(JSON.parse('{ "x": 1 }')) // false
 */
export type Guard<T> = (value: unknown) => value is T

type Shape = Readonly<Record<string, Guard<unknown>>>
type InferShape<S extends Shape> = { readonly [Name in keyof S]: S[Name] extends Guard<infer T> ? T : never }

export const isString: Guard<string> = (value): value is string => typeof value === 'string'
export const isBoolean: Guard<boolean> = (value): value is boolean => typeof value === 'boolean'
export const isNumber: Guard<number> = (value): value is number => typeof value === 'number' && Number.isFinite(value)
/** Accepts a safe integer that is not negative. */
export const isCount: Guard<number> = (value): value is number => Number.isSafeInteger(value) && (value as number) >= 0
/** Accepts any value. */
export const isUnknown: Guard<unknown> = (_value): _value is unknown => true

/** Accepts one of the given strings. */
export function isOneOf<T extends string> (...values: readonly T[]): Guard<T> {
  return (value): value is T => values.includes(value as T)
}

/** Accepts undefined and the values that the guard accepts. */
export function isOptional<T> (guard: Guard<T>): Guard<T | undefined> {
  return (value): value is T | undefined => value === undefined || guard(value)
}

/** Accepts an array whose items the guard accepts. */
export function isArrayOf<T> (guard: Guard<T>): Guard<readonly T[]> {
  return (value): value is readonly T[] => Array.isArray(value) && value.every((item) => guard(item))
}

/** Accepts an object with at least the given fields. */
export function isShape<S extends Shape> (shape: S): Guard<InferShape<S>> {
  const fields = Object.entries(shape)
  return (value): value is InferShape<S> => isObject(value) && fields.every(([name, guard]) => guard(value[name]))
}

/** Accepts a value that both guards accept. */
export function isIntersectionOf<A, B> (first: Guard<A>, second: Guard<B>): Guard<A & B> {
  return (value): value is A & B => first(value) && second(value)
}

/** Accepts an object of a discriminated union: the field `discriminator` names a variant, whose guard accepts the object. */
export function isVariant<T> (discriminator: string, variants: Readonly<Record<string, Guard<unknown>>>): Guard<T> {
  const guards = new Map(Object.entries(variants))
  return (value): value is T => {
    if (!isObject(value)) return false
    const name = value[discriminator]
    const guard = typeof name === 'string' ? guards.get(name) : undefined
    return guard !== undefined && guard(value)
  }
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
