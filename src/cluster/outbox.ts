import type { MemberId } from '../model/ids.ts'
import type { ClusterMessage } from '../model/peer.ts'
import type { LogEffect } from '../model/report.ts'
import type { ClusterEffect } from './effect.ts'

/** Collects the effects of one event. */
export class Outbox {
  private effects: ClusterEffect[] = []

  static create (): Outbox {
    return new Outbox()
  }

  emit (effect: ClusterEffect): void {
    this.effects.push(effect)
  }

  send (to: MemberId, address: string, message: ClusterMessage): void {
    this.emit({ type: 'peer-send', to, address, message })
  }

  count (counter: string, reason: string): void {
    this.emit({ type: 'count', counter, reason })
  }

  log (level: LogEffect['level'], message: string, fields: LogEffect['fields'] = {}): void {
    this.emit({ type: 'log', level, message, fields })
  }

  /** Returns the effects since the last call and removes them. */
  drain (): readonly ClusterEffect[] {
    const drained = this.effects
    this.effects = []
    return drained
  }
}
