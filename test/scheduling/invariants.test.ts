import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { add, fits, NO_RESOURCES, type Resources } from '../../src/model/resources.ts'
import { parseWorkId } from '../../src/model/ids.ts'
import type { Work } from '../../src/model/work.ts'
import type { TaskCompletion } from '../../src/scheduling/event.ts'
import { createAmount, UNLIMITED, SchedulerHarness, createTarget, createTeam, createWork } from './support.ts'

/** Random operations; `pick` selects among what exists when the operation runs. */
const operation = fc.oneof(
  { weight: 8, arbitrary: fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom('request', 'service', 'batch', 'gang'), team: fc.nat(2), count: fc.integer({ min: 1, max: 6 }), slots: fc.integer({ min: 1, max: 3 }), accelerators: fc.constantFrom(0, 0, 0, 1), urgent: fc.boolean(), idempotent: fc.boolean() }) },
  { weight: 10, arbitrary: fc.record({ type: fc.constant('end' as const), pick: fc.nat(), end: fc.constantFrom<TaskCompletion[]>('succeeded', 'failed', 'stopped', 'lost', 'not-started'), again: fc.boolean() }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('time' as const), ms: fc.constantFrom(100, 100, 1000, 5000) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('obey' as const), pick: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('grant' as const), team: fc.nat(2), slots: fc.constantFrom(0, 4, 12, 1000) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('domain' as const), domain: fc.constantFrom('a', 'b'), out: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('target' as const), pick: fc.nat(5), state: fc.constantFrom('live' as const, 'leaving' as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cancel' as const), pick: fc.nat() }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('usage' as const), pick: fc.nat(), factor: fc.constantFrom(0.1, 0.5, 1, 2) }) }
)

type Operation = typeof operation extends fc.Arbitrary<infer Value> ? Value : never

const TEAMS = ['cutting', 'sewing', 'dyeing']
const TARGETS = [0, 1, 2, 3, 4, 5].map((index) => createTarget(`t${index}`, {
  failureDomain: index < 3 ? 'a' : 'b',
  rack: `r${index % 2}`,
  capacity: { cpuMillis: 8000, memoryMiB: 8192, accelerators: index % 3 === 0 ? 2 : 0, slots: 6, connections: 20 }
}))

/** Keeps its own record of the running tasks and checks each effect of the scheduler against it. */
class InvariantChecker {
  readonly harness = new SchedulerHarness(TEAMS.map((name) => createTeam(name, { organisation: name === 'dyeing' ? 'north' : 'south' })), TARGETS)
  readonly works = new Map<string, Work>()
  readonly grants = new Map<string, Resources>(TEAMS.map((name) => [name, UNLIMITED]))
  readonly domainsOut = new Set<string>()
  readonly leavingTargets = new Set<string>()
  readonly quarantinedTargets = new Set<string>()
  readonly probesByTarget = new Map<string, string>()
  readonly running = new Map<string, string>()
  readonly stopping = new Set<string>()
  /** Indices of the gang tasks that must still run, to check that all of them start together. */
  readonly remainingGangTasks = new Map<string, Set<number>>()
  eventCount = 0

  apply (event: Parameters<SchedulerHarness['apply']>[0]): void {
    this.eventCount += 1
    const startedGangs = new Map<string, number>()
    for (const effect of this.harness.apply(event)) {
      switch (effect.type) {
        case 'start': this.checkStart(effect.taskId, effect.targetId, startedGangs); break
        case 'stop': this.checkStop(effect.taskId, effect.mode, effect.cause); break
        case 'quarantined': this.quarantinedTargets.add(effect.targetId); break
        case 'readmitted': this.quarantinedTargets.delete(effect.targetId); break
        default:
      }
    }
    for (const [id, count] of startedGangs) assert.equal(count, this.remainingGangTasks.get(id)!.size, `gang ${id} started in part`)
  }

  checkStart (taskId: string, targetId: string, startedGangs: Map<string, number>): void {
    const entry = this.works.get(parseWorkId(taskId))!
    const target = TARGETS.find(({ id }) => id === targetId)!
    assert.ok(!this.running.has(taskId), `${taskId} started twice`)
    assert.ok(!this.domainsOut.has(target.failureDomain), `${taskId} started in a domain that is out`)
    assert.ok(!this.leavingTargets.has(targetId), `${taskId} started on a leaving target`)
    if (this.quarantinedTargets.has(targetId)) this.checkProbe(entry, taskId, targetId)
    this.running.set(taskId, targetId)
    assert.ok(fits(this.sumResources((id) => this.running.get(id) === targetId), target.capacity), `${targetId} overcommitted`)
    assert.ok(fits(this.sumResources((id) => this.works.get(parseWorkId(id))!.team === entry.team), this.grants.get(entry.team)!), `${entry.team} above its grant`)
    if (entry.kind === 'gang') startedGangs.set(entry.id, (startedGangs.get(entry.id) ?? 0) + 1)
  }

  /** A quarantined target may only get one idempotent task at a time, as a probe. */
  checkProbe (entry: Work, taskId: string, targetId: string): void {
    assert.ok(entry.idempotent, 'probe with work that is not idempotent')
    assert.ok(!this.probesByTarget.has(targetId), `second probe on ${targetId}`)
    this.probesByTarget.set(targetId, taskId)
  }

  checkStop (taskId: string, mode: string, cause: string): void {
    assert.ok(this.running.has(taskId), `${taskId} stopped but not running`)
    const entry = this.works.get(parseWorkId(taskId))!
    const wasRequested = cause === 'cancelled' || cause === 'over-limit'
    assert.ok(entry.idempotent || mode === 'checkpoint' || wasRequested, `${taskId}, which is not idempotent, was stopped without a checkpoint because of ${cause}`)
    this.stopping.add(taskId)
  }

  sumResources (included: (taskId: string) => boolean): Resources {
    return [...this.running.keys()].filter(included)
      .reduce((total, id) => add(total, this.works.get(parseWorkId(id))!.resources), NO_RESOURCES)
  }

  endTask (taskId: string, completion: TaskCompletion, mustRunAgain: boolean): void {
    const targetId = this.running.get(taskId)!
    this.running.delete(taskId)
    this.stopping.delete(taskId)
    if (this.probesByTarget.get(targetId) === taskId) this.probesByTarget.delete(targetId)
    const remaining = this.remainingGangTasks.get(parseWorkId(taskId))
    if (!mustRunAgain) remaining?.delete(Number(taskId.slice(taskId.lastIndexOf('/') + 1)))
    this.apply({ type: 'task-ended', taskId, targetId, completion, mustRunAgain })
  }

  runOperation (step: Operation, index: number): void {
    switch (step.type) {
      case 'submit': return this.submit(step, index)
      case 'end': {
        const id = [...this.running.keys()][step.pick % Math.max(1, this.running.size)]
        if (id !== undefined) this.endTask(id, step.end, step.again && step.end !== 'succeeded')
        return
      }
      case 'obey': {
        const id = [...this.stopping][step.pick % Math.max(1, this.stopping.size)]
        if (id !== undefined) this.endTask(id, 'stopped', this.works.get(parseWorkId(id))!.kind !== 'request')
        return
      }
      case 'time':
        this.harness.now += step.ms
        return this.apply({ type: 'tick' })
      case 'grant': {
        const granted = step.slots === 1000 ? UNLIMITED : createAmount(step.slots, 1000 * step.slots, step.slots)
        this.grants.set(TEAMS[step.team]!, granted)
        return this.apply({ type: 'grant-changed', team: TEAMS[step.team]!, amount: granted })
      }
      case 'domain':
        if (step.out) this.domainsOut.add(step.domain)
        else this.domainsOut.delete(step.domain)
        return this.apply({ type: 'domain-changed', failureDomain: step.domain, state: step.out ? 'out' : 'in' })
      case 'target':
        if (step.state === 'leaving') this.leavingTargets.add(`t${step.pick}`)
        else this.leavingTargets.delete(`t${step.pick}`)
        return this.apply({ type: 'target-upserted', target: { ...TARGETS[step.pick]!, state: step.state } })
      case 'cancel': {
        const id = [...this.works.keys()][step.pick % Math.max(1, this.works.size)]
        if (id !== undefined) this.apply({ type: 'work-cancelled', work: id })
        return
      }
      case 'usage': {
        const id = [...this.running.keys()][step.pick % Math.max(1, this.running.size)]
        if (id === undefined) return
        const { cpuMillis, memoryMiB, ...rest } = this.works.get(parseWorkId(id))!.resources
        const resources = { ...rest, cpuMillis: cpuMillis * step.factor, memoryMiB: memoryMiB * step.factor }
        this.apply({ type: 'usage-reported', targetId: this.running.get(id)!, usage: [{ taskId: id, resources }] })
      }
    }
  }

  submit (step: Operation & { type: 'submit' }, index: number): void {
    const id = `g0-w${index}`
    const kind = step.kind === 'request'
      ? { kind: 'request' as const, deadlineAt: this.harness.now + 20_000 }
      : { kind: step.kind as 'service' | 'batch' | 'gang', count: step.count }
    const entry = createWork(id, kind, {
      team: TEAMS[step.team]!,
      family: `f${step.slots}`,
      resources: createAmount(step.slots, 1000 * step.slots, step.accelerators),
      urgent: step.urgent,
      idempotent: step.idempotent
    })
    this.works.set(id, entry)
    if (entry.kind === 'gang') this.remainingGangTasks.set(id, new Set(Array.from({ length: entry.count }, (_, member) => member)))
    this.apply({ type: 'work-submitted', work: entry })
  }

  /** Counts waiting tasks and booked slots; the slots of claims and reservations are booked too. */
  countUnfinished (): number {
    return TEAMS.reduce((sum, name) => sum + this.harness.scheduler.usage(name).slots, this.harness.scheduler.summary(0, 1, true).waiting)
  }

  getWaitingReasons (): readonly string[] {
    return [...this.works.values()].flatMap((entry) => Array.from({ length: entry.kind === 'request' ? 1 : entry.count }, (_, index) => this.harness.scheduler.explain(`${entry.id}/${index}`)))
      .flatMap((found) => found?.state === 'waiting' ? [`${found.task} ${found.reason}: ${found.detail}`] : [])
  }

  /** Removes all limits, then checks that all waiting tasks start and end, so that no queue stays blocked. */
  checkAllWorkFinishes (): void {
    for (const name of TEAMS) this.grants.set(name, UNLIMITED)
    this.domainsOut.clear()
    this.leavingTargets.clear()
    for (const name of TEAMS) this.apply({ type: 'grant-changed', team: name, amount: UNLIMITED })
    for (const entry of TARGETS) this.apply({ type: 'target-upserted', target: entry })
    for (const name of ['a', 'b']) this.apply({ type: 'domain-changed', failureDomain: name, state: 'in' })
    for (let round = 0; round < 1200 && this.countUnfinished() > 0; round += 1) {
      this.harness.now += 1000
      this.apply({ type: 'tick' })
      for (const id of [...this.running.keys()]) if (this.running.has(id)) this.endTask(id, 'succeeded', false)
    }
    assert.deepEqual(this.getWaitingReasons(), [], 'work waits although nothing prevents it from starting')
    for (const name of TEAMS) assert.deepEqual(this.harness.scheduler.usage(name), NO_RESOURCES, `bookings of ${name} remain`)
  }
}

test('invariants: no target is overcommitted, no team exceeds its grant, no task starts twice or on an unusable target, gangs start with all tasks, and all work ends', () => {
  let events = 0
  fc.assert(fc.property(fc.array(operation, { minLength: 60, maxLength: 160 }), (steps) => {
    const checker = new InvariantChecker()
    steps.forEach((step, index) => checker.runOperation(step, index))
    checker.checkAllWorkFinishes()
    events += checker.eventCount
  }), { seed: 20261204, numRuns: 150 })
  assert.ok(events >= 10_000, `only ${events} events`)
})
