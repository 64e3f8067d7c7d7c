import type { Change } from '../src/model/configuration.ts'
import { scale } from '../src/model/resources.ts'
import type { Target } from '../src/model/target.ts'
import type { TargetCall } from '../src/ports/target-client.ts'
import type { FaultName } from './fault-catalogue.ts'
import type { Injection } from './injector.ts'
import { PHASES } from './scenario.ts'
import type { CreateMemberProcess, MemberInput, MemberOutput, MemberProcess } from './member-process.ts'
import type { StepName } from './steps.ts'
import type { GuaranteeNumber } from './violation.ts'

/** The real system with one deliberate defect; the check of the guarantee that the defect violates must find it. */
export type Variant = {
  readonly name: string
  readonly brokenGuarantee: GuaranteeNumber
  /** Faults that are required for the violation to occur; absent if it occurs in any run. */
  readonly faults?: readonly { readonly step: StepName, readonly fault: FaultName }[]
  /** Number of seeds to try if the violation needs a rare order of messages. Default 1. */
  readonly seedCount?: number
  readonly createMember?: (create: CreateMemberProcess) => CreateMemberProcess
  readonly alterTargetCall?: () => (call: TargetCall) => TargetCall
}

export const VARIANTS: readonly Variant[] = [
  { name: 'members believe that targets have three times their capacity', brokenGuarantee: 1, createMember: (create) => alterProcess(create, { input: withMoreCapacity }) },
  { name: 'each start is sent to a second target as well', brokenGuarantee: 2, createMember: (create) => alterProcess(create, { outputs: withSecondStart() }) },
  { name: 'each call carries a key that is in force', brokenGuarantee: 3, createMember: (create) => alterProcess(create, { input: withValidKey }) },
  { name: 'team limits are stored three times as high', brokenGuarantee: 4, createMember: (create) => alterProcess(create, { input: (input) => withChanges(input, withHigherLimit) }) },
  { name: 'failure domains are never stored as out', brokenGuarantee: 5, faults: [{ step: 'target:sync', fault: 'domain-out' }], createMember: (create) => alterProcess(create, { input: (input) => withChanges(input, withDomainIn) }) },
  { name: 'an answer carries the output of the answer before', brokenGuarantee: 6, createMember: (create) => alterProcess(create, { outputs: withPreviousOutput() }) },
  { name: 'every tenth result is reported as not-run', brokenGuarantee: 7, createMember: (create) => alterProcess(create, { outputs: withFalseNotRun() }) },
  { name: 'each start is sent again as a new attempt three seconds later', brokenGuarantee: 8, createMember: (create) => alterProcess(create, { outputs: withRepeatedStart() }) },
  { name: 'targets ignore the epoch and the lease of a start', brokenGuarantee: 8, seedCount: 30, faults: [{ step: 'target:start', fault: 'receiver-pauses' }, { step: 'target:start', fault: 'sender-dies' }], alterTargetCall: withNewestEpoch },
  { name: 'the host list shows leaving targets as live', brokenGuarantee: 9, faults: [{ step: 'target:sync', fault: 'target-leaves' }], createMember: (create) => alterProcess(create, { input: withAllTargetsLive }) },
  { name: 'a member exits as soon as it is asked to leave', brokenGuarantee: 10, faults: [{ step: 'peer:submit', fault: 'member-leaves' }], createMember: (create) => alterProcess(create, { outputs: withEarlyExit }) },
  { name: 'a member goes back to its first configuration', brokenGuarantee: 11, faults: [{ step: 'target:sync', fault: 'domain-out' }], createMember: (create) => (options) => withOldConfiguration(create(options)) }
]

type Alteration = {
  readonly input?: (input: MemberInput) => MemberInput
  readonly outputs?: (outputs: readonly MemberOutput[], input: MemberInput) => readonly MemberOutput[]
}

function alterProcess (create: CreateMemberProcess, { input = (same) => same, outputs = (same) => same }: Alteration): CreateMemberProcess {
  return (options) => {
    const process = create(options)
    return { ...process, apply: (clock, event) => outputs(process.apply(clock, input(event)), event) }
  }
}

function withMoreCapacity (input: MemberInput): MemberInput {
  if (input.type === 'host-list-answered') return withTargets(input, (target) => ({ ...target, capacity: scale(target.capacity, 3) }))
  if (input.type !== 'target-answered') return input
  return { ...input, result: input.result.map((answer) => answer.type === 'adopt' ? { ...answer, capacity: scale(answer.capacity, 3) } : answer) }
}

type TargetCallOutput = Extract<MemberOutput, { type: 'target-call' }>

/** Sends a copy of each start to another target of the group, with the lease of the last call to that target. */
function withSecondStart (): (outputs: readonly MemberOutput[]) => readonly MemberOutput[] {
  const lastCalls = new Map<string, TargetCallOutput>()
  return (outputs) => outputs.flatMap((output): readonly MemberOutput[] => {
    if (output.type !== 'target-call') return [output]
    lastCalls.set(output.target.id, output)
    if (output.call.type !== 'start') return [output]
    const { call, callId } = output
    const other = [...lastCalls.values()].find((last) => last.call.group === call.group && last.target.id !== output.target.id)
    if (other === undefined) return [output]
    return [output, { type: 'target-call', callId: `${callId}-copy`, target: other.target, call: { ...call, lease: other.call.lease } }]
  })
}

/** Gives each start the epoch and the lease of the newest adoption, so that the stand-in accepts it from any owner. */
function withNewestEpoch (): (call: TargetCall) => TargetCall {
  const adoptions = new Map<number, Extract<TargetCall, { type: 'adopt' }>>()
  return (call) => {
    if (call.type === 'adopt') adoptions.set(call.group, call)
    const adoption = adoptions.get(call.group)
    if (call.type !== 'start' || adoption === undefined) return call
    return { ...call, epoch: adoption.epoch, lease: adoption.lease }
  }
}

const REPEAT_DELAY_EVENTS = 300

/** Repeats each start later. The delay is counted in events, because outputs have no time; 300 events are a few seconds. */
function withRepeatedStart (): (outputs: readonly MemberOutput[]) => readonly MemberOutput[] {
  let events = 0
  const copies: { readonly dueAt: number, readonly output: TargetCallOutput }[] = []
  return (outputs) => {
    events += 1
    const due: MemberOutput[] = []
    while (copies[0] !== undefined && copies[0].dueAt <= events) due.push(copies.shift()!.output)
    for (const output of outputs) {
      if (output.type !== 'target-call' || output.call.type !== 'start') continue
      const call = { ...output.call, attempt: output.call.attempt + 1 }
      copies.push({ dueAt: events + REPEAT_DELAY_EVENTS, output: { ...output, callId: `${output.callId}-copy`, call } })
    }
    return [...outputs, ...due]
  }
}

function withValidKey (input: MemberInput): MemberInput {
  if (input.type !== 'caller-submitted') return input
  const keys: Readonly<Record<string, string>> = { 'queue-a': 'key-a', 'queue-b': 'key-b' }
  return { ...input, request: { ...input.request, key: keys[input.request.submission.queue] } }
}

function withChanges (input: MemberInput, alter: (change: Change) => Change): MemberInput {
  return input.type === 'publish-requested' ? { ...input, changes: input.changes.map(alter) } : input
}

function withHigherLimit (change: Change): Change {
  if (change.kind !== 'team' || change.value === null) return change
  return { ...change, value: { ...change.value, limit: scale(change.value.limit, 3) } }
}

function withDomainIn (change: Change): Change {
  if (change.kind !== 'failureDomain' || change.value === null) return change
  return { ...change, value: { ...change.value, state: 'in' } }
}

function withPreviousOutput (): (outputs: readonly MemberOutput[]) => readonly MemberOutput[] {
  let before: unknown
  return (outputs) => outputs.map((output) => {
    if (output.type !== 'caller-answer' || output.answer.type !== 'succeeded') return output
    const mixed = before ?? output.answer.output
    before = output.answer.output
    return { ...output, answer: { ...output.answer, output: mixed } }
  })
}

function withFalseNotRun (): (outputs: readonly MemberOutput[]) => readonly MemberOutput[] {
  let results = 0
  return (outputs) => outputs.map((output) => {
    if (output.type !== 'caller-answer' || output.answer.type !== 'succeeded') return output
    results += 1
    if (results % 10 !== 0) return output
    return { ...output, answer: { type: 'failed', reason: 'target-lost', verdict: 'not-run' } }
  })
}

function withAllTargetsLive (input: MemberInput): MemberInput {
  return input.type === 'host-list-answered' ? withTargets(input, (target) => ({ ...target, state: 'live' })) : input
}

function withTargets (input: Extract<MemberInput, { type: 'host-list-answered' }>, alter: (target: Target) => Target): MemberInput {
  return { ...input, result: input.result.map((listing) => ({ ...listing, targets: listing.targets.map(alter) })) }
}

function withEarlyExit (outputs: readonly MemberOutput[], input: MemberInput): readonly MemberOutput[] {
  return input.type === 'leave-requested' ? [{ type: 'left' }] : outputs
}

function withOldConfiguration (process: MemberProcess): MemberProcess {
  let first: ReturnType<MemberProcess['configuration']> | undefined
  return {
    ...process,
    configuration: () => {
      const configuration = process.configuration()
      if (first === undefined && configuration.revision > 0) first = configuration
      return first ?? configuration
    }
  }
}

/**
 * Creates the injections of the faults that a variant requires.
 *
 * @example
 * variantInjections(VARIANTS[0]!) // []
 */
export function createVariantInjections ({ faults: under }: Variant): readonly Injection[] {
  return (under ?? []).map((fault) => ({ ...fault, occurrence: 1, notBefore: PHASES.faultsFrom }))
}
