/** Faults that affect a single message, namely the one that triggers them. */
export type MessageFaultName = 'lost' | 'answer-lost' | 'doubled' | 'late'

/** Faults that affect more than a message; they start when the triggering message is sent. */
export type ConditionFaultName =
  | 'sender-dies'
  | 'receiver-dies'
  | 'sender-pauses'
  | 'receiver-pauses'
  | 'members-partitioned'
  | 'store-down'
  | 'store-slow'
  | 'target-dies'
  | 'target-silent'
  | 'target-leaves'
  | 'domain-out'
  | 'key-withdrawn'
  | 'publications-race'
  | 'member-leaves'
  | 'cancellation-wave'
  | 'targets-fail-all'
  | 'wrong-declarations'
  | 'never-fitting-work'

export type FaultName = MessageFaultName | ConditionFaultName

/** Description of every fault, for the report. The type requires an entry for each member of the union. */
export const FAULTS: Readonly<Record<FaultName, string>> = {
  lost: 'the message is lost',
  'answer-lost': 'the message takes effect and its answer is lost',
  doubled: 'the message arrives a second time up to 1.5 s later',
  late: 'the message arrives 0.2 s to 1.5 s late, after later ones',
  'sender-dies': 'the sending member dies, and starts again after 8 s with nothing kept',
  'receiver-dies': 'the receiving member or target dies, and starts again after 8 s with nothing kept; the store loses its connections',
  'sender-pauses': 'the sending member stops for 7 s and then goes on',
  'receiver-pauses': 'the receiving member or target stops for 7 s and then goes on; the store answers late',
  'members-partitioned': 'the sending member and the other members lose contact for 12 s',
  'store-down': 'the store does not answer for 15 s',
  'store-slow': 'each call to the store takes 0.5 s to 4 s for 15 s',
  'target-dies': 'the busiest target dies and starts again after 8 s with nothing kept',
  'target-silent': 'the busiest target gets and sends no messages for 9 s',
  'target-leaves': 'the host list shows the busiest target as leaving, and as live again after 20 s',
  'domain-out': 'operators take out the failure domain of the busiest target, and bring it back after 12 s',
  'key-withdrawn': 'operators withdraw the key of a team and issue another after 10 s',
  'publications-race': 'two operators publish different limits of one team through two members at once',
  'member-leaves': 'the sending member is shut down gracefully and replaced after 8 s',
  'cancellation-wave': 'callers cancel all jobs that they have',
  'targets-fail-all': 'the tasks on two targets fail at once for 15 s',
  'wrong-declarations': 'for 10 s tasks use three times what they declare and run ten times as long',
  'never-fitting-work': 'callers send jobs and requests that fit on no target'
}

export const FAULT_NAMES = Object.keys(FAULTS) as readonly FaultName[]

/** Pairs of faults that are injected together, in one cell once and in another cell twice. */
export const FAULT_PAIRS: readonly (readonly [FaultName, FaultName])[] = [
  ['sender-dies', 'store-down'],
  ['members-partitioned', 'store-down'],
  ['sender-pauses', 'store-slow'],
  ['answer-lost', 'sender-dies'],
  ['target-dies', 'sender-dies'],
  ['domain-out', 'store-slow'],
  ['target-silent', 'domain-out'],
  ['target-silent', 'target-leaves'],
  ['member-leaves', 'doubled']
]

/** Durations of the faults, in milliseconds of virtual time. */
export const FAULT_TIMING = {
  restartMs: 8_000,
  pauseMs: 7_000,
  partitionMs: 12_000,
  silenceMs: 9_000,
  storeMs: 15_000,
  leavingMs: 20_000,
  domainMs: 12_000,
  keyMs: 10_000,
  failingMs: 15_000,
  declarationMs: 10_000
} as const
