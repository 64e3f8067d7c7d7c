import type { ConditionFaultName, FaultName, MessageFaultName } from './fault-catalogue.ts'
import type { StepName } from './steps.ts'

/** A fault to inject at the `occurrence`-th message (counted from 1) of a step after `notBefore`. */
export type Injection = {
  readonly step: StepName
  readonly fault: FaultName
  readonly occurrence: number
  readonly notBefore: number
}

/** Step, sender and receiver of a message. */
export type MessageRoute = { readonly step: StepName, readonly from: string, readonly to: string }

const MESSAGE_FAULTS: Readonly<Record<MessageFaultName, true>> = { lost: true, 'answer-lost': true, doubled: true, late: true }

/** Counts the messages of each step and triggers the injections that match. */
export class Injector {
  private readonly messageCounts: number[]
  private readonly triggered = new Set<Injection>()

  private constructor (private readonly injections: readonly Injection[], private readonly startConditionFault: (fault: ConditionFaultName, route: MessageRoute) => void) {
    this.messageCounts = injections.map(() => 0)
  }

  /** Creates an injector; `startConditionFault` starts the faults that affect more than the message. */
  static create (injections: readonly Injection[], startConditionFault: (fault: ConditionFaultName, route: MessageRoute) => void): Injector {
    return new Injector(injections, startConditionFault)
  }

  /** The injections that have been triggered. */
  get injected (): readonly Injection[] {
    return [...this.triggered]
  }

  /** Counts the message, starts the condition faults that it triggers and returns its message faults. */
  recordMessage (now: number, route: MessageRoute): readonly MessageFaultName[] {
    const messageFaults: MessageFaultName[] = []
    this.injections.forEach((injection, index) => {
      if (injection.step !== route.step || now < injection.notBefore) return
      this.messageCounts[index] = this.messageCounts[index]! + 1
      if (this.messageCounts[index] !== injection.occurrence) return
      this.triggered.add(injection)
      if (isMessageFault(injection.fault)) messageFaults.push(injection.fault)
      else this.startConditionFault(injection.fault, route)
    })
    return messageFaults
  }
}

function isMessageFault (fault: FaultName): fault is MessageFaultName {
  return Object.hasOwn(MESSAGE_FAULTS, fault)
}
