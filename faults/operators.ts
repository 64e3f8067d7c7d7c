import type { Change } from '../src/model/configuration.ts'
import type { Random } from '../src/util/random.ts'
import type { EventQueue } from './event-queue.ts'
import type { Observed, PublicationAnswer } from './history.ts'
import type { MemberAccess } from './member-access.ts'

const ANSWER_WAIT_MS = 10_000
const RETRY_MS = 700
const MOST_TRIES = 12

export type OperatorsOptions = {
  readonly queue: EventQueue
  readonly random: Random
  readonly members: MemberAccess
  readonly observe: (observed: Observed) => void
}

/** Operators who publish changes and repeat them, through any member, until they are accepted. */
export class Operators {
  private asks = 0

  private constructor (private readonly options: OperatorsOptions) {}

  static create (options: OperatorsOptions): Operators {
    return new Operators(options)
  }

  publish (changes: readonly Change[], tries = MOST_TRIES): void {
    const { members, random, queue, observe } = this.options
    const live = members.live()
    const member = live[random.nextInt(live.length)]
    if (tries === 0) return
    if (member === undefined) {
      queue.after(RETRY_MS, () => this.publish(changes, tries - 1))
      return
    }
    this.asks += 1
    const ask = `ask-${this.asks}`
    observe({ type: 'publication-asked', ask, changes })
    const settle = this.settler(ask, changes, tries)
    members.publish(member, 'operator', changes, { answered: settle, disconnected: () => settle({ type: 'unknown' }) })
    queue.after(ANSWER_WAIT_MS, () => settle({ type: 'unknown' }))
  }

  private settler (ask: string, changes: readonly Change[], tries: number): (answer: PublicationAnswer) => void {
    let open = true
    return (answer) => {
      if (!open) return
      open = false
      this.options.observe({ type: 'publication-answered', ask, answer })
      if (answer.type !== 'accepted') this.options.queue.after(RETRY_MS, () => this.publish(changes, tries - 1))
    }
  }
}
