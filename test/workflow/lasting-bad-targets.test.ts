import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Queue } from '../../src/workflow/settings/cell-configuration.ts'
import type { CommandResponse } from '../../src/ports/command-client.ts'
import type { ListedCompletion } from '../../src/workflow/target-entry.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry } from './harness.ts'
import type { SentCommand } from './harness.ts'
import { SimulatedAdvisor } from './simulated-advisor.ts'

const QUEUES: readonly Queue[] = [{ ...QUEUE, name: 'plain' }, { ...QUEUE, name: 'advised', advice: { decisionMs: 450, perTargetMs: 6.5, validityMs: 2_000 } }]
const TARGETS = 6
const TICK_MS = 50
const LIST_EVERY_MS = 500
/** A run that fails does so this long after its start, in milliseconds. */
const FAILS_AFTER_MS = 200
const OBSERVED_MS = 40_000
/** A task that lasts is owed a run so long after its last one, in milliseconds. */
const OWED_MS = 9_000
/** Targets that work have less room, so that a task would rather start on those that do not. */
const WORKING = { cpuMillis: 2_000, memoryMiB: 1_000, accelerators: 0 }

/** How a target treats starts; it carries out stops, unless it answers no commands, and lists its runs. */
type Behaviour = 'works' | 'fails' | 'refuses' | 'overloaded' | 'start-unanswered' | 'unanswered'

type Run = { readonly task: string, readonly run: number, readonly startedAt: number }

/** Targets that treat the commands of a leader in these ways. */
class BadTargets {
  readonly runs = new Map<string, Map<string, Run>>()
  private readonly ends = new Map<string, number>()
  private readonly completions = new Map<string, ListedCompletion[]>()
  private readonly advisor = SimulatedAdvisor.create(7)
  private handledEffects = 0

  private constructor (readonly harness: CellHarness, private readonly behaviours: ReadonlyMap<string, Behaviour>) {}

  static create (bad: number, behaviour: Behaviour): BadTargets {
    const behaviours = new Map(Array.from({ length: TARGETS }, (_, index) => [`t${index}`, index < bad ? behaviour : 'works'] as const))
    const entries = [...behaviours].map(([id, how]) => buildEntry(id, how === 'works' ? { capacity: WORKING } : {}))
    const harness = CellHarness.create(entries, { ...CONFIGURATION, queues: QUEUES }, { areCommandsBound: true })
    harness.apply({ type: 'advice-channels', channels: 7 })
    return new BadTargets(harness, behaviours)
  }

  /** Whether a target that works has a run. */
  get hasRun (): boolean {
    return [...this.behaviours].some(([id, how]) => how === 'works' && (this.runs.get(id)?.size ?? 0) > 0)
  }

  advance (): void {
    const { harness } = this
    harness.now += TICK_MS
    for (const effect of harness.effects.slice(this.handledEffects)) {
      if (effect.type === 'request-advice') this.advisor.add([effect])
      if (effect.type === 'start' || effect.type === 'stop') this.handle(effect)
    }
    this.handledEffects = harness.effects.length
    for (const { step, targets } of this.advisor.advance(harness.now)) harness.apply({ type: 'advised', step, requestedTargets: targets, response: { type: 'advised', tickets: targets.map((target) => ({ target, ticket: 'ticket' })), validityMs: undefined } })
    this.endRuns()
    if (harness.now % LIST_EVERY_MS === 0) this.list()
    harness.apply({ type: 'tick' })
  }

  private handle (sent: SentCommand): void {
    const { type, target, incarnation, command: { task, run } } = sent
    const response = type === 'start' ? this.start(target, task, run) : this.stop(target, task)
    this.harness.apply({ type: type === 'start' ? 'start-answered' : 'stop-answered', target, incarnation, task, run, response })
  }

  private start (target: string, task: string, run: number): CommandResponse {
    const { now } = this.harness
    switch (this.behaviours.get(target)!) {
      case 'works':
      case 'fails':
        this.runsOf(target).set(task, { task, run, startedAt: now })
        return { type: 'accepted', clockMs: now }
      case 'refuses': return { type: 'refused', reason: 'invalid', clockMs: now }
      case 'overloaded': return { type: 'refused', reason: 'unhealthy', clockMs: now }
      case 'start-unanswered':
      case 'unanswered': return { type: 'unanswered', reason: 'timeout' }
    }
  }

  private stop (target: string, task: string): CommandResponse {
    if (this.behaviours.get(target) === 'unanswered') return { type: 'unanswered', reason: 'timeout' }
    this.runsOf(target).delete(task)
    return { type: 'accepted', clockMs: this.harness.now }
  }

  private runsOf (target: string): Map<string, Run> {
    const known = this.runs.get(target) ?? new Map<string, Run>()
    this.runs.set(target, known)
    return known
  }

  private endRuns (): void {
    for (const [id, behaviour] of this.behaviours) {
      for (const { task, run, startedAt } of behaviour === 'fails' ? [...this.runsOf(id).values()] : []) {
        if (this.harness.now - startedAt < FAILS_AFTER_MS) continue
        this.runsOf(id).delete(task)
        const number = (this.ends.get(id) ?? 0) + 1
        this.ends.set(id, number)
        this.completions.set(id, [...this.completions.get(id) ?? [], { number, task, run, outcome: 'failed', checkpoint: '' }])
        this.listTarget(id)
      }
    }
  }

  private list (): void {
    for (const id of this.behaviours.keys()) this.listTarget(id)
  }

  private listTarget (id: string): void {
    const running = [...this.runsOf(id).values()].map(({ task, run }) => ({ task, run, checkpoint: '', percent: 100, gauge: undefined }))
    this.harness.listTarget(id, { running, ended: this.completions.get(id) ?? [] })
  }
}

/** Time until the task runs on a target that works, in milliseconds. */
function measureRun (bad: number, behaviour: Behaviour, queue: string): number {
  const targets = BadTargets.create(bad, behaviour)
  const { harness } = targets
  const beganAt = harness.now
  harness.acceptJob('a', queue, { longRunning: true })
  while (harness.now - beganAt < OBSERVED_MS && !targets.hasRun) targets.advance()
  return targets.hasRun ? harness.now - beganAt : Infinity
}

const cases: ReadonlyArray<{ readonly guards: string, readonly behaviour: Behaviour, readonly bad: readonly number[] }> = [
  { guards: 'fail it', behaviour: 'fails', bad: [1, 3, 5] },
  { guards: 'refuse its starts', behaviour: 'refuses', bad: [1, 2, 3, 4, 5] },
  { guards: 'are overloaded', behaviour: 'overloaded', bad: [1, 2, 3, 4, 5] },
  { guards: 'answer no starts', behaviour: 'start-unanswered', bad: [1] },
  { guards: 'answer no commands', behaviour: 'unanswered', bad: [1, 2, 3] }
]

for (const { guards, behaviour, bad } of cases) {
  for (const count of bad) {
    for (const queue of ['plain', 'advised']) {
      // LOST: a task went back and forth between the targets that seemed to have the most room, and never came to one that works.
      test(`lasting tasks: guards against the failure that one stays with ${count} targets that ${guards}, in a queue that is ${queue}`, () => {
        const runMs = measureRun(count, behaviour, queue)
        assert.ok(runMs <= OWED_MS, `${runMs} ms in place of ${OWED_MS} ms`)
      })
    }
  }
}
