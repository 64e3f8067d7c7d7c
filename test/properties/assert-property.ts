import fc from 'fast-check'

const FIXED_SEED = 20261207

/** The seed of all properties: a fixed one, or the number in `PROPERTY_SEED`; with `fresh` there, another one each time. */
function findSeed (): number {
  const text = process.env.PROPERTY_SEED ?? String(FIXED_SEED)
  return text === 'fresh' ? Date.now() % 0x7FFFFFFF : Number(text)
}

/**
 * Checks a property with the same cases in each run, so that a verdict of the tests depends on the code alone.
 *
 * @example
 * assertProperty(fc.property(fc.string(), (text) => { parse(text) }), { numRuns: 300 })
 */
export function assertProperty<Values> (property: fc.IRawProperty<Values>, options: Omit<fc.Parameters<Values>, 'seed'> = {}): void {
  // An option without a value would replace the default.
  const result = fc.assert(property, { ...options, seed: findSeed() })
  if (result instanceof Promise) throw new Error('the property is asynchronous')
}
