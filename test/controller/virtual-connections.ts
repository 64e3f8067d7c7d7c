import { Random } from '../../src/util/random.ts'
import type { TargetEntry } from '../../src/workflow/target-entry.ts'

const MAX_CONNECTIONS = 4
/** How often a call finds no free connection, so that another one is opened. */
const BUSY_RATIO = 0.2
const SEED = 1

/** The connections of one member to the targets. Each ends with the incarnation that has accepted it. */
export class VirtualConnections {
  /** The incarnations that have accepted the open connections, by address. */
  private readonly accepted = new Map<string, number[]>()
  private readonly openedAt = new Map<string, number>()
  /** Of their own, so that the faults of a seed don't depend on it. */
  private readonly random = Random.create(SEED)

  private constructor (private readonly isClosing: (address: string) => boolean) {}

  /** `isClosing`: whether the target at an address closes each connection after its answer. */
  static create (isClosing: (address: string) => boolean = () => false): VirtualConnections {
    return new VirtualConnections(isClosing)
  }

  /** Chooses the connection of a call, or opens one. False if it has ended with its incarnation and resets the call, like others. */
  use ({ address, incarnation }: TargetEntry, now: number): boolean {
    if (this.isClosing(address)) {
      this.openedAt.set(address, now)
      return true
    }
    const open = this.accepted.get(address) ?? []
    this.accepted.set(address, open)
    if (open.length === 0 || (open.length < MAX_CONNECTIONS && this.random.next() < BUSY_RATIO)) {
      open.push(incarnation)
      this.openedAt.set(address, now)
      return true
    }
    if (open[this.random.nextInt(open.length)] === incarnation) return true
    this.accepted.set(address, open.filter((accepted) => accepted === incarnation))
    return false
  }

  /** When the last connection to an address was opened; -Infinity if none was. */
  getOpenedAt (address: string): number {
    return this.openedAt.get(address) ?? -Infinity
  }
}
