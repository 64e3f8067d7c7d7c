import type { PeerMessage } from '../src/model/peer.ts'
import type { StoreCall } from '../src/ports/store.ts'
import type { TargetCall } from '../src/ports/target-client.ts'
import type { FaultName } from './fault-catalogue.ts'

/** Name of a message type, with the kind of its receiver. */
export type StepName = `peer:${PeerMessage['type']}` | `store:${StoreCall['type']}` | `target:${TargetCall['type']}`

/** A step of the protocol, with the faults that are required for it to occur. */
export type Step = { readonly name: StepName, readonly requiredFaults: readonly FaultName[] }

type StepRequirements = { readonly requiredFaults?: readonly FaultName[] }

/** The record types name every member of the unions, so that a new message type without a row is a type error. */
const PEER_STEPS: Readonly<Record<PeerMessage['type'], StepRequirements>> = {
  heartbeat: {},
  'heartbeat-answer': {},
  revisions: { requiredFaults: ['store-slow', 'publications-race'] },
  snapshot: { requiredFaults: ['sender-dies'] },
  'stopped-asked': { requiredFaults: ['sender-dies'] },
  'stopped-answer': { requiredFaults: ['sender-dies'] },
  ownership: { requiredFaults: ['sender-dies'] },
  'grant-report-asked': { requiredFaults: ['sender-dies'] },
  'grant-report': { requiredFaults: ['sender-dies'] },
  'grant-asked': {},
  'grant-given': {},
  'grant-recalled': {},
  submit: {},
  answer: {},
  'answer-received': {},
  ask: {},
  reply: {}
}

const STORE_STEPS: Readonly<Record<StoreCall['type'], StepRequirements>> = {
  read: { requiredFaults: ['sender-dies'] },
  transact: {},
  'grant-lease': { requiredFaults: ['sender-dies'] },
  'renew-lease': {},
  'revoke-lease': { requiredFaults: ['member-leaves'] },
  watch: {}
}

const TARGET_STEPS: Readonly<Record<TargetCall['type'], StepRequirements>> = {
  adopt: { requiredFaults: ['sender-dies'] },
  start: {},
  sync: {},
  control: {}
}

/** All steps: one for each message type of members, the store and targets. */
export const STEPS: readonly Step[] = [
  ...createSteps('peer', PEER_STEPS),
  ...createSteps('store', STORE_STEPS),
  ...createSteps('target', TARGET_STEPS)
]

function createSteps (receiver: 'peer' | 'store' | 'target', rows: Readonly<Record<string, StepRequirements>>): readonly Step[] {
  return Object.entries(rows).map(([type, row]) => ({ name: `${receiver}:${type}` as StepName, requiredFaults: row.requiredFaults ?? [] }))
}
