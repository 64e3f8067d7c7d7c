import type { Submission } from '../src/frontend/event.ts'
import type { SubmissionResponse } from '../src/model/group-request.ts'
import type { WorkId } from '../src/model/ids.ts'
import type { Random } from '../src/util/random.ts'
import type { EventQueue } from './event-queue.ts'
import type { ObservedEvent } from './history.ts'
import type { CallerRequest, MemberAccess } from './member-access.ts'
import { PHASES, QUEUES, resourcesForSlots } from './scenario.ts'

const MEAN_REQUEST_GAP_MS = 100
const MEAN_JOB_GAP_MS = 1_500
const REQUEST_DEADLINE_MS = 10_000
/** Time within which a job must be answered. */
const JOB_RESPONSE_TIMEOUT_MS = 20_000
const MAX_RETRY_DELAY_MS = 600
const MAX_CALLS_PER_REQUEST = 4
const SERVICE_CANCEL_DELAY_MS = 6_000
const UNSCHEDULABLE_SLOTS = 9

export type CallersOptions = {
  readonly queue: EventQueue
  readonly random: Random
  readonly members: MemberAccess
  readonly observe: (observed: ObservedEvent) => void
}

type Kind = Submission['kind']
type PlannedRequest = { readonly token: string, readonly request: CallerRequest, readonly deadlineAt: number, readonly expected: unknown }
type AcceptedJob = { readonly call: string, readonly work: WorkId, readonly request: CallerRequest }

/** Seeded load of all teams: requests and jobs of every kind, with valid and invalid keys, and retries. */
export class Callers {
  private callCount = 0
  private requestCount = 0
  private misdeclareUntil = 0
  private readonly jobs: AcceptedJob[] = []
  private readonly keys: Record<string, string> = { a: 'key-a', b: 'key-b' }

  private constructor (private readonly options: CallersOptions) {}

  static create (options: CallersOptions): Callers {
    return new Callers(options)
  }

  start (): void {
    this.scheduleRepeatedly(PHASES.loadFrom, MEAN_REQUEST_GAP_MS, () => this.sendRequest())
    this.scheduleRepeatedly(PHASES.loadFrom + MEAN_JOB_GAP_MS, MEAN_JOB_GAP_MS, () => this.sendJob())
  }

  /** Sets the key that callers of the team use from now on. */
  setTeamKey (team: string, key: string): void {
    this.keys[team] = key
  }

  misdeclareResources (forMs: number): void {
    this.misdeclareUntil = this.options.queue.now + forMs
  }

  cancelAll (): void {
    for (const job of this.jobs.splice(0)) this.cancel(job)
  }

  sendUnschedulableWork (): void {
    const resources = resourcesForSlots(UNSCHEDULABLE_SLOTS)
    for (const kind of ['request', 'batch', 'gang'] as const) {
      const plannedRequest = this.createPlannedRequest(kind)
      this.send({ ...plannedRequest, request: { ...plannedRequest.request, submission: { ...plannedRequest.request.submission, resources } } }, 1)
    }
  }

  private scheduleRepeatedly (at: number, meanGapMs: number, action: () => void): void {
    if (at > PHASES.loadUntil) return
    this.options.queue.at(at, () => {
      action()
      this.scheduleRepeatedly(at + meanGapMs * (0.5 + this.options.random.next()), meanGapMs, action)
    })
  }

  private sendRequest (): void {
    this.send(this.createPlannedRequest('request'), 1)
  }

  private sendJob (): void {
    const kinds = ['batch', 'gang', 'service'] as const
    this.send(this.createPlannedRequest(kinds[this.options.random.nextInt(kinds.length)]!), 1)
  }

  private createPlannedRequest (kind: Kind): PlannedRequest {
    const { random, queue } = this.options
    this.requestCount += 1
    const token = `w${this.requestCount}`
    const names = Object.keys(QUEUES)
    const name = names[random.nextInt(names.length)]!
    const output = { for: token, lines: Array.from({ length: 1 + random.nextInt(4) }, (_, index) => `${token}-${index}`) }
    return {
      token,
      expected: output,
      deadlineAt: queue.now + (kind === 'request' ? REQUEST_DEADLINE_MS : JOB_RESPONSE_TIMEOUT_MS),
      request: {
        key: this.chooseKey(QUEUES[name]!.team),
        idempotencyKey: random.next() < 0.4 ? `${token}-key` : undefined,
        submission: this.createSubmission(kind, name, token, output)
      }
    }
  }

  private createSubmission (kind: Kind, queue: string, token: string, output: unknown): Submission {
    const { random } = this.options
    const misdeclared = this.options.queue.now < this.misdeclareUntil
    const expectedMs = kind === 'request' ? 20 + random.nextInt(1_000) : 1_000 + random.nextInt(5_000)
    return {
      kind,
      queue,
      count: kind === 'request' ? 1 : 2 + random.nextInt(2),
      family: `${queue}-${kind}`,
      resources: resourcesForSlots(1 + random.nextInt(2)),
      expectedMs,
      urgent: random.next() < 0.1,
      idempotent: random.next() < 0.5,
      payload: { token, runMs: expectedMs * (misdeclared ? 10 : 1), output, fail: random.next() < 0.03, usageFactor: misdeclared ? 3 : 1 },
      timeoutMs: REQUEST_DEADLINE_MS
    }
  }

  /** Returns the valid key for 11 of 12 calls; the others have no key, an unknown key or the key of another team. */
  private chooseKey (team: string): string | undefined {
    const { random } = this.options
    const validKey = this.keys[team]
    if (random.next() >= 1 / 12) return validKey
    return [undefined, 'key-unknown', team === 'a' ? this.keys['b'] : this.keys['a']][random.nextInt(3)]
  }

  private send (plannedRequest: PlannedRequest, attempt: number): void {
    const { members, observe, queue, random } = this.options
    const live = members.getLiveMembers()
    const member = live[random.nextInt(live.length)]
    if (member === undefined) return
    this.callCount += 1
    const call = `c${this.callCount}`
    const { submission, key } = plannedRequest.request
    const { queue: name, kind, idempotent } = submission
    const { token, expected, deadlineAt } = plannedRequest
    observe({ type: 'caller-sent', call, token, member, queue: name, key, kind, idempotent, expected, deadlineAt })
    const timeoutMs = Math.max(1, Math.round(deadlineAt - queue.now))
    members.submit(member, { ...plannedRequest.request, submission: { ...submission, timeoutMs } }, {
      onResponse: (answer) => this.handleResponse(plannedRequest, call, attempt, answer),
      onDisconnected: (cause) => {
        observe({ type: 'caller-disconnected', call, cause })
        this.scheduleRetry(plannedRequest, attempt)
      }
    })
  }

  private handleResponse (plannedRequest: PlannedRequest, call: string, attempt: number, answer: SubmissionResponse): void {
    this.options.observe({ type: 'caller-answered', call, answer })
    if (answer.type === 'accepted') this.recordAcceptedJob({ call, work: answer.work, request: plannedRequest.request })
    if (answer.type === 'refused' && answer.verdict === 'not-run' && 'retryAfterMs' in answer.refusal) this.scheduleRetry(plannedRequest, attempt)
    else if (plannedRequest.request.idempotencyKey !== undefined && this.options.random.next() < 0.1) this.scheduleRetry(plannedRequest, attempt)
  }

  /** Retries the call only if it has an idempotency key; without one the retry would be another request. */
  private scheduleRetry (plannedRequest: PlannedRequest, attempt: number): void {
    if (plannedRequest.request.idempotencyKey === undefined || attempt >= MAX_CALLS_PER_REQUEST || this.options.queue.now >= plannedRequest.deadlineAt) return
    this.options.queue.after(MAX_RETRY_DELAY_MS * this.options.random.next(), () => this.send(plannedRequest, attempt + 1))
  }

  /** Records the job. Services are cancelled after a delay, because they would use up the limits of their teams. */
  private recordAcceptedJob (job: AcceptedJob): void {
    this.jobs.push(job)
    if (job.request.submission.kind !== 'service') return
    this.options.queue.after(SERVICE_CANCEL_DELAY_MS, () => {
      if (this.jobs.includes(job)) this.cancel(job)
    })
  }

  private cancel (job: AcceptedJob): void {
    const { members, observe, random } = this.options
    const live = members.getLiveMembers()
    const member = live[random.nextInt(live.length)]
    if (member === undefined) return
    observe({ type: 'caller-cancelled', call: job.call })
    const ignored = (): void => {}
    members.cancel(member, job.work, job.request.key, { onResponse: ignored, onDisconnected: ignored })
  }
}
