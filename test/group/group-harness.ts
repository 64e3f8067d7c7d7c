import { err, ok } from 'neverthrow'
import type { GroupEffect } from '../../src/group/effect.ts'
import type { GroupEvent } from '../../src/group/event.ts'
import { Group } from '../../src/group/group.ts'
import { targetsKey } from '../../src/group/job-record.ts'
import { EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import type { Configuration } from '../../src/model/configuration.ts'
import type { SubmissionResponse } from '../../src/model/group-request.ts'
import type { Resources } from '../../src/model/resources.ts'
import type { Target } from '../../src/model/target.ts'
import type { Work } from '../../src/model/work.ts'
import type { TargetCall } from '../../src/ports/target-client.ts'
import { Scheduler } from '../../src/scheduling/scheduler.ts'
import type { InMemoryTarget } from '../../src/standins/target.ts'

export const CAPACITY: Resources = { cpuMillis: 8_000, memoryMiB: 8_000, accelerators: 0, slots: 8, connections: 8 }
export const ONE_SLOT: Resources = { cpuMillis: 1_000, memoryMiB: 1_000, accelerators: 0, slots: 1, connections: 1 }
const LIMIT: Resources = { cpuMillis: 10_000, memoryMiB: 10_000, accelerators: 0, slots: 10, connections: 10 }
const STEP_MS = 100

export const CONFIGURATION: Configuration = {
  ...EMPTY_CONFIGURATION,
  revision: 1,
  organisations: new Map([['o', { name: 'o', weight: 1 }]]),
  teams: new Map([['a', { name: 'a', organisation: 'o', weight: 1, limit: LIMIT, waitingLimit: 100 }]]),
  queues: new Map([['q', { name: 'q', access: { type: 'open', team: 'a' } }]])
}

export function createTarget (id: string): Target {
  return { id, host: `host-${id}`, address: `http://${id}`, failureDomain: 'bole', rack: 'r', capacity: CAPACITY, state: 'live' }
}

export function createRequest (id: string, fields: Partial<Work> = {}): Work {
  return {
    id,
    kind: 'request',
    deadlineAt: 1_000_000,
    team: 'a',
    queue: 'q',
    family: 'f',
    resources: ONE_SLOT,
    expectedMs: 0,
    urgent: false,
    idempotent: true,
    submittedAt: 0,
    payload: { runMs: 50, output: id },
    ...fields
  } as Work
}

/** Runs one group with in-memory targets; commits succeed immediately. `now` starts at 100,000 ms. */
export class GroupHarness {
  now = 100_000
  readonly responses = new Map<string, SubmissionResponse>()
  readonly calls: { readonly target: string, readonly call: TargetCall }[] = []
  /** Targets whose calls time out without reaching them. */
  readonly unresponsive = new Set<string>()
  private readonly group: Group
  private readonly pendingSyncs: { readonly callId: string, readonly target: string, readonly call: Extract<TargetCall, { type: 'sync' }>, readonly since: number }[] = []

  private constructor (readonly targets: ReadonlyMap<string, InMemoryTarget>, epoch: number) {
    this.group = Group.create({ group: 0, epoch, scheduler: Scheduler.create({ seed: 1 }), now: this.now }, 1)
  }

  /** Acquires the group; `inherited` lists the targets in the stored record of the group. */
  static create (targets: ReadonlyMap<string, InMemoryTarget>, epoch: number, inherited: readonly string[], unresponsive: readonly string[] = []): GroupHarness {
    const harness = new GroupHarness(targets, epoch)
    for (const id of unresponsive) harness.unresponsive.add(id)
    harness.apply({ type: 'configuration-applied', now: harness.now, configuration: CONFIGURATION })
    const value = JSON.stringify(inherited.map(createTarget))
    harness.apply({ type: 'loaded', now: harness.now, result: ok(inherited.length === 0 ? [] : [{ key: targetsKey(0), value, version: 1 }]) })
    harness.listHosts([...targets.keys()].map(createTarget))
    return harness
  }

  listHosts (targets: readonly Target[]): void {
    this.apply({ type: 'hosts-listed', now: this.now, targets, asOf: this.now })
  }

  grant (amount: Resources): void {
    this.apply({ type: 'grant-changed', now: this.now, team: 'a', amount })
  }

  submit (work: Work, resumed = false): void {
    this.apply({ type: 'submitted', now: this.now, from: 'm1', nonce: work.id, work, resumed })
  }

  usage (): Resources {
    return this.group.usage('a')
  }

  /** Advances the time in steps of `STEP_MS`, with a tick in each step. */
  advance (durationMs: number): void {
    for (const end = this.now + durationMs; this.now < end;) {
      this.now += STEP_MS
      this.apply({ type: 'tick', now: this.now })
      for (const sync of this.pendingSyncs.splice(0)) this.handleCallResult(sync.callId, sync.target, this.targets.get(sync.target)!.resume(this.now, sync.call, sync.since), sync.call, sync.since)
    }
  }

  apply (event: GroupEvent): void {
    for (const effect of this.group.apply(event)) this.applyEffect(effect)
  }

  private applyEffect (effect: GroupEffect): void {
    if (effect.type === 'commit') this.apply({ type: 'commit-settled', now: this.now, commitId: effect.commitId, outcome: 'applied' })
    if (effect.type === 'send' && effect.message.type === 'answer') this.responses.set(effect.message.work, effect.message.answer)
    if (effect.type !== 'target-call') return
    const { callId, call } = effect
    const target = effect.target.id
    this.calls.push({ target, call })
    if (this.unresponsive.has(target)) return this.apply({ type: 'target-answered', now: this.now, callId, result: err({ reason: 'timeout', verdict: 'may-have-run' }) })
    this.handleCallResult(callId, target, this.targets.get(target)!.call(this.now, call), call, this.now)
  }

  private handleCallResult (callId: string, target: string, result: ReturnType<InMemoryTarget['call']>, call: TargetCall, since: number): void {
    if (result !== 'waiting') return this.apply({ type: 'target-answered', now: this.now, callId, result })
    if (call.type === 'sync') this.pendingSyncs.push({ callId, target, call, since })
  }
}
