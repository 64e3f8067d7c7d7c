import type { Change } from '../src/model/configuration.ts'
import type { Random } from '../src/util/random.ts'
import type { EventQueue } from './event-queue.ts'
import type { ObservedEvent, PublicationOutcome } from './history.ts'
import type { MemberAccess } from './member-access.ts'

const RESPONSE_TIMEOUT_MS = 10_000
const RETRY_DELAY_MS = 700
const MAX_ATTEMPTS = 12

export type OperatorsOptions = {
  readonly queue: EventQueue
  readonly random: Random
  readonly members: MemberAccess
  readonly observe: (observed: ObservedEvent) => void
}

/** Operators that publish changes through any member and retry until the changes are accepted or the attempts are used up. */
export class Operators {
  private requestCount = 0

  private constructor (private readonly options: OperatorsOptions) {}

  static create (options: OperatorsOptions): Operators {
    return new Operators(options)
  }

  publish (changes: readonly Change[], tries = MAX_ATTEMPTS): void {
    const { members, random, queue, observe } = this.options
    const live = members.getLiveMembers()
    const member = live[random.nextInt(live.length)]
    if (tries === 0) return
    if (member === undefined) {
      queue.after(RETRY_DELAY_MS, () => this.publish(changes, tries - 1))
      return
    }
    this.requestCount += 1
    const ask = `ask-${this.requestCount}`
    observe({ type: 'publication-asked', ask, changes })
    const handleOutcome = this.createOutcomeHandler(ask, changes, tries)
    members.publish(member, 'operator', changes, { onResponse: handleOutcome, onDisconnected: () => handleOutcome({ type: 'unknown' }) })
    queue.after(RESPONSE_TIMEOUT_MS, () => handleOutcome({ type: 'unknown' }))
  }

  private createOutcomeHandler (ask: string, changes: readonly Change[], tries: number): (answer: PublicationOutcome) => void {
    let open = true
    return (answer) => {
      if (!open) return
      open = false
      this.options.observe({ type: 'publication-answered', ask, answer })
      if (answer.type !== 'accepted') this.options.queue.after(RETRY_DELAY_MS, () => this.publish(changes, tries - 1))
    }
  }
}
