import { Random } from '../util/random.ts'
import { DEFAULT_TIMINGS } from './options.ts'
import type { ClusterOptions, ClusterTimings } from './options.ts'
import { Outbox } from './outbox.ts'
import { StoreCalls } from './store-calls.ts'

/** State shared by the components of one `Cluster`: options, effects, store calls, random numbers and the time of the current event. */
export class Context {
  /** Time of the event that is being applied. */
  now = 0
  readonly outbox = Outbox.create()
  readonly storeCalls: StoreCalls
  readonly random: Random

  private constructor (readonly options: ClusterOptions, readonly timings: ClusterTimings) {
    this.storeCalls = StoreCalls.create(this.outbox, timings.callTimeoutMs)
    this.random = Random.create(options.seed)
  }

  static create (options: ClusterOptions): Context {
    return new Context(options, { ...DEFAULT_TIMINGS, ...options.timings })
  }
}
