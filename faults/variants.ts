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

/** The real system, broken on purpose in one place; the run with this fault must show the broken guarantee. */
export type Variant = {
  readonly name: string
  readonly breaks: GuaranteeNumber
  /** The faults under which it shows; none when it shows in any run. */
  readonly under?: readonly { readonly step: StepName, readonly fault: FaultName }[]
  /** Seeds to try, if it shows only in a rare order of messages. Default 1. */
  readonly seeds?: number
  readonly createMember?: (create: CreateMemberProcess) => CreateMemberProcess
  readonly alterTargetCall?: () => (call: TargetCall) => TargetCall
}

export const VARIANTS: readonly Variant[] = [
  { name: 'members believe that targets have three times their capacity', breaks: 1, createMember: (create) => altering(create, { input: withMoreCapacity }) },
  { name: 'each start is sent to a second target as well', breaks: 2, createMember: (create) => altering(create, { outputs: withSecondStart() }) },
  { name: 'each call carries a key that is in force', breaks: 3, createMember: (create) => altering(create, { input: withRightKey }) },
  { name: 'team limits are stored three times as high', breaks: 4, createMember: (create) => altering(create, { input: (input) => withChanges(input, withHigherLimit) }) },
  { name: 'failure domains are never stored as out', breaks: 5, under: [{ step: 'target:sync', fault: 'domain-out' }], createMember: (create) => altering(create, { input: (input) => withChanges(input, withDomainIn) }) },
  { name: 'an answer carries the output of the answer before', breaks: 6, createMember: (create) => altering(create, { outputs: withMixedAnswers() }) },
  { name: 'every tenth result is reported as not-run', breaks: 7, createMember: (create) => altering(create, { outputs: withFalseNotRun() }) },
  { name: 'each start is sent again as a new attempt three seconds later', breaks: 8, createMember: (create) => altering(create, { outputs: withRepeatedStart() }) },
  { name: 'targets ignore the epoch and the lease of a start', breaks: 8, seeds: 30, under: [{ step: 'target:start', fault: 'receiver-pauses' }, { step: 'target:start', fault: 'sender-dies' }], alterTargetCall: ignoringEpochs },
  { name: 'the host list shows leaving targets as live', breaks: 9, under: [{ step: 'target:sync', fault: 'target-leaves' }], createMember: (create) => altering(create, { input: withAllLive }) },
  { name: 'a member exits as soon as it is asked to leave', breaks: 10, under: [{ step: 'peer:submit', fault: 'member-leaves' }], createMember: (create) => altering(create, { outputs: withEarlyExit }) },
  { name: 'a member goes back to its first configuration', breaks: 11, under: [{ step: 'target:sync', fault: 'domain-out' }], createMember: (create) => (options) => withOldConfiguration(create(options)) }
]

type Alteration = {
  readonly input?: (input: MemberInput) => MemberInput
  readonly outputs?: (outputs: readonly MemberOutput[], input: MemberInput) => readonly MemberOutput[]
}

function altering (create: CreateMemberProcess, { input = (same) => same, outputs = (same) => same }: Alteration): CreateMemberProcess {
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

/** The copy goes to another target of the group, with the lease of the last call there. */
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

/** A start gets the epoch and the lease of the newest adoption, so that the stand-in takes it from any owner. */
function ignoringEpochs (): (call: TargetCall) => TargetCall {
  const adoptions = new Map<number, Extract<TargetCall, { type: 'adopt' }>>()
  return (call) => {
    if (call.type === 'adopt') adoptions.set(call.group, call)
    const adoption = adoptions.get(call.group)
    if (call.type !== 'start' || adoption === undefined) return call
    return { ...call, epoch: adoption.epoch, lease: adoption.lease }
  }
}

const REPEAT_AFTER_EVENTS = 300

/** Counted in events, because outputs carry no time; 300 events are a few seconds. */
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
      copies.push({ dueAt: events + REPEAT_AFTER_EVENTS, output: { ...output, callId: `${output.callId}-copy`, call } })
    }
    return [...outputs, ...due]
  }
}

function withRightKey (input: MemberInput): MemberInput {
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

function withMixedAnswers (): (outputs: readonly MemberOutput[]) => readonly MemberOutput[] {
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

function withAllLive (input: MemberInput): MemberInput {
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
 * The faults under which a variant shows, as injections.
 *
 * @example
 * variantInjections(VARIANTS[0]!) // []
 */
export function variantInjections ({ under }: Variant): readonly Injection[] {
  return (under ?? []).map((fault) => ({ ...fault, occurrence: 1, notBefore: PHASES.faultsFrom }))
}
