// Stand-in for a worker, as PROTOCOL.md describes it. What a task does stands in its `spec`: { ms } or { lasts: true }.
import { listenJson } from './http.mjs'

const HEARTBEAT_MS = 1_500
const ENTRY_LIFE_MS = 3 * HEARTBEAT_MS
const MAX_HOLD_WAIT_MS = 2_000
const ENDS_IN_ONE_ANSWER = 500
const STARTUP_MS = 300
const CHECK_MS = 10

export class Worker {
  constructor (options) {
    Object.assign(this, options)
    this.reset()
  }

  /** `needsTicket(job)`: whether starts of the job's tasks need a ticket; `isTicketValid(ticket, step, worker)` checks it. */
  static async listen ({ id, host, store, zone, rack, cpu, memMb, maxHoldMs, record, needsTicket = () => false, isTicketValid = () => true }) {
    const worker = new Worker({ id, host, store, zone, rack, cpu, memMb, maxHoldMs, record, needsTicket, isTicketValid, port: 0, state: 'ready' })
    await worker.start()
    return worker
  }

  reset () {
    this.born = Date.now()
    this.bornAt = performance.now()
    this.runs = new Map()
    this.ends = []
    this.lastEnd = 0
    this.highestRuns = new Map()
    this.highestToken = 0
    this.leaseUntilMs = 0
    this.sequence = 0
    this.waiters = new Set()
    this.endTimes = new Map()
    this.lapsedAt = -Infinity
  }

  async start () {
    this.reset()
    this.server = await listenJson({ host: this.host, port: this.port, handle: (call) => this.handle(call) })
    this.address = this.server.address
    this.port = Number(this.address.split(':')[1])
    this.up = true
    this.publish()
    this.heart = setInterval(() => this.publish(), HEARTBEAT_MS)
    this.checks = setInterval(() => this.endDueRuns(), CHECK_MS)
  }

  /** The process ends without a word; its entry lapses after three heartbeat intervals, unless it is back before. */
  crash () {
    const lost = [...this.runs.values()].map(({ task, run }) => `${task}#${run}`)
    this.record('worker-crashed', { worker: this.id, lost })
    this.close()
    const { sequence, born } = this
    setTimeout(() => {
      if (!this.up && this.born === born && this.sequence === sequence) this.store.remove(`servers/${this.id}`)
    }, ENTRY_LIFE_MS).unref()
  }

  async restart () {
    await this.start()
    this.record('worker-restarted', { worker: this.id, born: this.born })
  }

  close () {
    this.up = false
    clearInterval(this.heart)
    clearInterval(this.checks)
    this.server.close()
    this.runs.clear()
  }

  publish () {
    this.sequence += 1
    this.store.put(`servers/${this.id}`, { service: 'kit', address: this.address, zone: this.zone, version: 'v1', taskSlots: 8, state: this.state, coldRemainingMs: 0, capacity: { cpu: this.cpu, memMb: this.memMb, gpu: 0 }, labels: ['a', this.rack], clockMs: this.clock(), born: this.born, sequence: this.sequence })
  }

  clock () {
    return Math.floor(performance.now() - this.bornAt)
  }

  async handle ({ path, headers, body }) {
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) return this.answer(421)
    this.endDueRuns()
    const token = body.fencingToken ?? 0
    if (token < this.highestToken) return this.refuse('fence')
    this.highestToken = token
    switch (path) {
      case '/run-start': return this.startRun(body, token)
      case '/run-stop': return this.stopRun(body)
      case '/hold': return this.list(body)
      case '/pace': return this.answer(200)
      default: return { status: 404 }
    }
  }

  answer (status, fields = {}) {
    return { status, body: { clockMs: this.clock(), born: this.born, ...fields } }
  }

  refuse (reason) {
    return this.answer(409, { reason })
  }

  startRun ({ task, run, spec, deadlineMs, ticket }, token) {
    const present = this.runs.get(task)
    if (present?.run === run) return this.answer(200)
    if (run <= (this.highestRuns.get(task) ?? 0)) {
      this.extend(deadlineMs)
      return this.refuse('old')
    }
    if (deadlineMs <= this.clock()) return this.refuse('late')
    const step = task.split('.').slice(0, 3).join('.')
    if (this.needsTicket(task.split('.')[0]) && !this.isTicketValid(ticket, step, this)) return this.refuse('ticket')
    this.extend(deadlineMs)
    this.runs.set(task, { task, run, behaviour: JSON.parse(spec), startedAt: performance.now() })
    this.record('task-started', { task, run, worker: this.id, fencingToken: token })
    return this.answer(200)
  }

  stopRun ({ task, run }) {
    if (this.runs.get(task)?.run === run) this.end(task, 'stopped')
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0))
    return this.answer(200)
  }

  async list ({ deadlineMs, ackCursor = 0, waitMs = 0 }) {
    if (deadlineMs !== undefined) this.extend(deadlineMs)
    for (const [number, task, run, how] of this.ends) {
      if (number <= ackCursor) this.record('end-noted', { task, run, how, worker: this.id, leaseLapsedBetween: this.lapsedAt >= this.endTimes.get(number) })
    }
    this.ends = this.ends.filter(([number]) => number > ackCursor)
    if (this.ends.length === 0 && waitMs > 0) await this.waitForEnd(Math.min(waitMs, MAX_HOLD_WAIT_MS))
    const running = [...this.runs.values()].map(({ task, run, behaviour, startedAt }) => [task, run, '', percent(behaviour, performance.now() - startedAt), 0])
    return this.answer(200, { running, ended: this.ends.slice(0, ENDS_IN_ONE_ANSWER) })
  }

  waitForEnd (ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this.waiters.add(wake)
    })
  }

  extend (deadlineMs) {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, this.clock() + this.maxHoldMs))
  }

  endDueRuns () {
    const lapsed = this.clock() > this.leaseUntilMs
    if (lapsed) this.lapsedAt = performance.now()
    for (const { task, behaviour, startedAt } of [...this.runs.values()]) {
      if (lapsed) this.end(task, 'lapsed')
      else if (behaviour.lasts !== true && performance.now() - startedAt >= behaviour.ms) this.end(task, behaviour.fails === true ? 'failed' : 'done')
    }
  }

  end (task, how) {
    const { run } = this.runs.get(task)
    this.runs.delete(task)
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0))
    this.lastEnd += 1
    this.ends.push([this.lastEnd, task, run, how, ''])
    this.endTimes.set(this.lastEnd, performance.now())
    this.record('task-ended', { task, run, how, worker: this.id })
    for (const wake of [...this.waiters]) wake()
  }
}

function percent ({ ms, lasts }, elapsedMs) {
  if (lasts === true) return elapsedMs >= STARTUP_MS ? 100 : 0
  return Math.min(99, Math.floor(100 * elapsedMs / ms))
}
