import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { add, fits, NO_RESOURCES, type Resources } from '../../src/model/resources.ts'
import { workOfTask } from '../../src/model/ids.ts'
import type { Work } from '../../src/model/work.ts'
import type { TaskCompletion } from '../../src/scheduling/event.ts'
import { amount, LARGE, Rig, target, team, work } from './support.ts'

/** Random operations; numbers select among what exists when the operation runs. */
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
const TARGETS = [0, 1, 2, 3, 4, 5].map((index) => target(`t${index}`, {
  failureDomain: index < 3 ? 'a' : 'b',
  rack: `r${index % 2}`,
  capacity: { cpuMillis: 8000, memoryMiB: 8192, accelerators: index % 3 === 0 ? 2 : 0, slots: 6, connections: 20 }
}))

/** An independent record of what runs where, checked after each event. */
class Checker {
  readonly rig = new Rig(TEAMS.map((name) => team(name, { organisation: name === 'dyeing' ? 'north' : 'south' })), TARGETS)
  readonly works = new Map<string, Work>()
  readonly grants = new Map<string, Resources>(TEAMS.map((name) => [name, LARGE]))
  readonly out = new Set<string>()
  readonly leaving = new Set<string>()
  readonly quarantined = new Set<string>()
  readonly probes = new Map<string, string>()
  readonly running = new Map<string, string>()
  readonly stopping = new Set<string>()
  /** Gang members that still have to run, to tell whether a gang started whole. */
  readonly gangLeft = new Map<string, Set<number>>()
  events = 0

  send (event: Parameters<Rig['send']>[0]): void {
    this.events += 1
    const startedGangs = new Map<string, number>()
    for (const effect of this.rig.send(event)) {
      switch (effect.type) {
        case 'start': this.checkStart(effect.taskId, effect.targetId, startedGangs); break
        case 'stop': this.checkStop(effect.taskId, effect.mode, effect.cause); break
        case 'quarantined': this.quarantined.add(effect.targetId); break
        case 'readmitted': this.quarantined.delete(effect.targetId); break
        default:
      }
    }
    for (const [id, count] of startedGangs) assert.equal(count, this.gangLeft.get(id)!.size, `gang ${id} started in part`)
  }

  checkStart (taskId: string, targetId: string, startedGangs: Map<string, number>): void {
    const entry = this.works.get(workOfTask(taskId))!
    const place = TARGETS.find(({ id }) => id === targetId)!
    assert.ok(!this.running.has(taskId), `${taskId} started twice`)
    assert.ok(!this.out.has(place.failureDomain), `${taskId} started in a domain that is out`)
    assert.ok(!this.leaving.has(targetId), `${taskId} started on a leaving target`)
    if (this.quarantined.has(targetId)) this.checkProbe(entry, taskId, targetId)
    this.running.set(taskId, targetId)
    assert.ok(fits(this.sum((id) => this.running.get(id) === targetId), place.capacity), `${targetId} overcommitted`)
    assert.ok(fits(this.sum((id) => this.works.get(workOfTask(id))!.team === entry.team), this.grants.get(entry.team)!), `${entry.team} above its grant`)
    if (entry.kind === 'gang') startedGangs.set(entry.id, (startedGangs.get(entry.id) ?? 0) + 1)
  }

  /** A quarantined target takes one idempotent task at a time, as a probe. */
  checkProbe (entry: Work, taskId: string, targetId: string): void {
    assert.ok(entry.idempotent, 'probe with work that is not idempotent')
    assert.ok(!this.probes.has(targetId), `second probe on ${targetId}`)
    this.probes.set(targetId, taskId)
  }

  checkStop (taskId: string, mode: string, cause: string): void {
    assert.ok(this.running.has(taskId), `${taskId} stopped but not running`)
    const entry = this.works.get(workOfTask(taskId))!
    const asked = cause === 'cancelled' || cause === 'over-limit'
    assert.ok(entry.idempotent || mode === 'checkpoint' || asked, `plain stop of ${taskId}, which is not idempotent, because of ${cause}`)
    this.stopping.add(taskId)
  }

  sum (included: (taskId: string) => boolean): Resources {
    return [...this.running.keys()].filter(included)
      .reduce((total, id) => add(total, this.works.get(workOfTask(id))!.resources), NO_RESOURCES)
  }

  end (taskId: string, end: TaskCompletion, again: boolean): void {
    const targetId = this.running.get(taskId)!
    this.running.delete(taskId)
    this.stopping.delete(taskId)
    if (this.probes.get(targetId) === taskId) this.probes.delete(targetId)
    const left = this.gangLeft.get(workOfTask(taskId))
    if (!again) left?.delete(Number(taskId.slice(taskId.lastIndexOf('/') + 1)))
    this.send({ type: 'task-ended', taskId, targetId, completion: end, mustRunAgain: again })
  }

  run (step: Operation, index: number): void {
    switch (step.type) {
      case 'submit': return this.submit(step, index)
      case 'end': {
        const id = [...this.running.keys()][step.pick % Math.max(1, this.running.size)]
        if (id !== undefined) this.end(id, step.end, step.again && step.end !== 'succeeded')
        return
      }
      case 'obey': {
        const id = [...this.stopping][step.pick % Math.max(1, this.stopping.size)]
        if (id !== undefined) this.end(id, 'stopped', this.works.get(workOfTask(id))!.kind !== 'request')
        return
      }
      case 'time':
        this.rig.now += step.ms
        return this.send({ type: 'tick' })
      case 'grant': {
        const granted = step.slots === 1000 ? LARGE : amount(step.slots, 1000 * step.slots, step.slots)
        this.grants.set(TEAMS[step.team]!, granted)
        return this.send({ type: 'grant-changed', team: TEAMS[step.team]!, amount: granted })
      }
      case 'domain':
        if (step.out) this.out.add(step.domain)
        else this.out.delete(step.domain)
        return this.send({ type: 'domain-changed', failureDomain: step.domain, state: step.out ? 'out' : 'in' })
      case 'target':
        if (step.state === 'leaving') this.leaving.add(`t${step.pick}`)
        else this.leaving.delete(`t${step.pick}`)
        return this.send({ type: 'target-upserted', target: { ...TARGETS[step.pick]!, state: step.state } })
      case 'cancel': {
        const id = [...this.works.keys()][step.pick % Math.max(1, this.works.size)]
        if (id !== undefined) this.send({ type: 'work-cancelled', work: id })
        return
      }
      case 'usage': {
        const id = [...this.running.keys()][step.pick % Math.max(1, this.running.size)]
        if (id === undefined) return
        const { cpuMillis, memoryMiB, ...rest } = this.works.get(workOfTask(id))!.resources
        const resources = { ...rest, cpuMillis: cpuMillis * step.factor, memoryMiB: memoryMiB * step.factor }
        this.send({ type: 'usage-reported', targetId: this.running.get(id)!, usage: [{ taskId: id, resources }] })
      }
    }
  }

  submit (step: Operation & { type: 'submit' }, index: number): void {
    const id = `g0-w${index}`
    const kind = step.kind === 'request'
      ? { kind: 'request' as const, deadlineAt: this.rig.now + 20_000 }
      : { kind: step.kind as 'service' | 'batch' | 'gang', count: step.count }
    const entry = work(id, kind, {
      team: TEAMS[step.team]!,
      family: `f${step.slots}`,
      resources: amount(step.slots, 1000 * step.slots, step.accelerators),
      urgent: step.urgent,
      idempotent: step.idempotent
    })
    this.works.set(id, entry)
    if (entry.kind === 'gang') this.gangLeft.set(id, new Set(Array.from({ length: entry.count }, (_, member) => member)))
    this.send({ type: 'work-submitted', work: entry })
  }

  /** Waiting tasks and booked slots; room reserved for a task that has not started is booked. */
  unfinished (): number {
    return TEAMS.reduce((sum, name) => sum + this.rig.scheduler.usage(name).slots, this.rig.scheduler.summary(0, 1, true).waiting)
  }

  reasons (): readonly string[] {
    return [...this.works.values()].flatMap((entry) => Array.from({ length: entry.kind === 'request' ? 1 : entry.count }, (_, index) => this.rig.scheduler.explain(`${entry.id}/${index}`)))
      .flatMap((found) => found?.state === 'waiting' ? [`${found.task} ${found.reason}: ${found.detail}`] : [])
  }

  /** Everything that still waits must start once nothing stands in its way: no queue may be forgotten. */
  settle (): void {
    for (const name of TEAMS) this.grants.set(name, LARGE)
    this.out.clear()
    this.leaving.clear()
    for (const name of TEAMS) this.send({ type: 'grant-changed', team: name, amount: LARGE })
    for (const entry of TARGETS) this.send({ type: 'target-upserted', target: entry })
    for (const name of ['a', 'b']) this.send({ type: 'domain-changed', failureDomain: name, state: 'in' })
    for (let round = 0; round < 1200 && this.unfinished() > 0; round += 1) {
      this.rig.now += 1000
      this.send({ type: 'tick' })
      for (const id of [...this.running.keys()]) if (this.running.has(id)) this.end(id, 'succeeded', false)
    }
    assert.deepEqual(this.reasons(), [], 'work waits although nothing stands in its way')
    for (const name of TEAMS) assert.deepEqual(this.rig.scheduler.usage(name), NO_RESOURCES, `bookings of ${name} remain`)
  }
}

test('invariants: no overcommitment, no team above its grant, nothing where it may not start, no double start, gangs whole, nothing forgotten', () => {
  let events = 0
  fc.assert(fc.property(fc.array(operation, { minLength: 60, maxLength: 160 }), (steps) => {
    const checker = new Checker()
    steps.forEach((step, index) => checker.run(step, index))
    checker.settle()
    events += checker.events
  }), { seed: 20261204, numRuns: 150 })
  assert.ok(events >= 10_000, `only ${events} events`)
})
