/**
 * Collects the effects of one event in the order in which they are pushed.
 *
 * @example
 * const outbox = Outbox.create<string>()
 * outbox.push('a')
 * outbox.drain() // ['a']
 */
export class Outbox<Effect> {
  private effects: Effect[] = []

  private constructor () {}

  static create<Effect> (): Outbox<Effect> {
    return new Outbox<Effect>()
  }

  /** Appends effects. */
  push (...effects: readonly Effect[]): void {
    this.effects.push(...effects)
  }

  /** Returns and removes all collected effects. */
  drain (): readonly Effect[] {
    const drained = this.effects
    this.effects = []
    return drained
  }
}
