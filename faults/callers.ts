import type { Submission } from '../src/frontend/event.ts'
import type { SubmissionResponse } from '../src/model/group-request.ts'
import type { WorkId } from '../src/model/ids.ts'
import type { Random } from '../src/util/random.ts'
import type { EventQueue } from './event-queue.ts'
import type { Observed } from './history.ts'
import type { CallerRequest, MemberAccess } from './member-access.ts'
import { PHASES, QUEUES, taskOf } from './scenario.ts'

const MEAN_REQUEST_GAP_MS = 100
const MEAN_JOB_GAP_MS = 1_500
const REQUEST_DEADLINE_MS = 10_000
/** Time within which the answer to a job is due. */
const JOB_ANSWER_MS = 20_000
const REPEAT_AFTER_MS = 600
const MOST_CALLS_PER_REQUEST = 4
const SERVICE_LIFE_MS = 6_000
const NEVER_FITTING_SLOTS = 9

export type CallersOptions = {
  readonly queue: EventQueue
  readonly random: Random
  readonly members: MemberAccess
  readonly observe: (observed: Observed) => void
}

type Kind = Submission['kind']
type Wish = { readonly token: string, readonly request: CallerRequest, readonly deadlineAt: number, readonly expected: unknown }
type AcceptedJob = { readonly call: string, readonly work: WorkId, readonly request: CallerRequest }

/** Seeded callers of all teams: requests and jobs of every kind, with right and wrong keys, and repetitions. */
export class Callers {
  private calls = 0
  private wishes = 0
  private misdeclareUntil = 0
  private readonly jobs: AcceptedJob[] = []
  private readonly keys: Record<string, string> = { a: 'key-a', b: 'key-b' }

  private constructor (private readonly options: CallersOptions) {}

  static create (options: CallersOptions): Callers {
    return new Callers(options)
  }

  start (): void {
    this.repeat(PHASES.loadFrom, MEAN_REQUEST_GAP_MS, () => this.sendRequest())
    this.repeat(PHASES.loadFrom + MEAN_JOB_GAP_MS, MEAN_JOB_GAP_MS, () => this.sendJob())
  }

  /** Callers of the team use another key from now on. */
  useKey (team: string, key: string): void {
    this.keys[team] = key
  }

  misdeclare (forMs: number): void {
    this.misdeclareUntil = this.options.queue.now + forMs
  }

  cancelAll (): void {
    for (const job of this.jobs.splice(0)) this.cancel(job)
  }

  sendNeverFitting (): void {
    const resources = taskOf(NEVER_FITTING_SLOTS)
    for (const kind of ['request', 'batch', 'gang'] as const) {
      const wish = this.wish(kind)
      this.send({ ...wish, request: { ...wish.request, submission: { ...wish.request.submission, resources } } }, 1)
    }
  }

  private repeat (at: number, meanGapMs: number, action: () => void): void {
    if (at > PHASES.loadUntil) return
    this.options.queue.at(at, () => {
      action()
      this.repeat(at + meanGapMs * (0.5 + this.options.random.next()), meanGapMs, action)
    })
  }

  private sendRequest (): void {
    this.send(this.wish('request'), 1)
  }

  private sendJob (): void {
    const kinds = ['batch', 'gang', 'service'] as const
    this.send(this.wish(kinds[this.options.random.nextInt(kinds.length)]!), 1)
  }

  private wish (kind: Kind): Wish {
    const { random, queue } = this.options
    this.wishes += 1
    const token = `w${this.wishes}`
    const names = Object.keys(QUEUES)
    const name = names[random.nextInt(names.length)]!
    const output = { for: token, lines: Array.from({ length: 1 + random.nextInt(4) }, (_, index) => `${token}-${index}`) }
    return {
      token,
      expected: output,
      deadlineAt: queue.now + (kind === 'request' ? REQUEST_DEADLINE_MS : JOB_ANSWER_MS),
      request: {
        key: this.keyFor(QUEUES[name]!.team),
        idempotencyKey: random.next() < 0.4 ? `${token}-key` : undefined,
        submission: this.submission(kind, name, token, output)
      }
    }
  }

  private submission (kind: Kind, queue: string, token: string, output: unknown): Submission {
    const { random } = this.options
    const misdeclared = this.options.queue.now < this.misdeclareUntil
    const expectedMs = kind === 'request' ? 20 + random.nextInt(1_000) : 1_000 + random.nextInt(5_000)
    return {
      kind,
      queue,
      count: kind === 'request' ? 1 : 2 + random.nextInt(2),
      family: `${queue}-${kind}`,
      resources: taskOf(1 + random.nextInt(2)),
      expectedMs,
      urgent: random.next() < 0.1,
      idempotent: random.next() < 0.5,
      payload: { token, runMs: expectedMs * (misdeclared ? 10 : 1), output, fail: random.next() < 0.03, usageFactor: misdeclared ? 3 : 1 },
      timeoutMs: REQUEST_DEADLINE_MS
    }
  }

  /** One call in twelve has no key, an unknown one or the key of another team. */
  private keyFor (team: string): string | undefined {
    const { random } = this.options
    const right = this.keys[team]
    if (random.next() >= 1 / 12) return right
    return [undefined, 'key-unknown', team === 'a' ? this.keys['b'] : this.keys['a']][random.nextInt(3)]
  }

  private send (wish: Wish, attempt: number): void {
    const { members, observe, queue, random } = this.options
    const live = members.live()
    const member = live[random.nextInt(live.length)]
    if (member === undefined) return
    this.calls += 1
    const call = `c${this.calls}`
    const { submission, key } = wish.request
    const { queue: name, kind, idempotent } = submission
    const { token, expected, deadlineAt } = wish
    observe({ type: 'caller-sent', call, token, member, queue: name, key, kind, idempotent, expected, deadlineAt })
    const timeoutMs = Math.max(1, Math.round(deadlineAt - queue.now))
    members.submit(member, { ...wish.request, submission: { ...submission, timeoutMs } }, {
      answered: (answer) => this.answered(wish, call, attempt, answer),
      disconnected: (cause) => {
        observe({ type: 'caller-disconnected', call, cause })
        this.sendAgain(wish, attempt)
      }
    })
  }

  private answered (wish: Wish, call: string, attempt: number, answer: SubmissionResponse): void {
    this.options.observe({ type: 'caller-answered', call, answer })
    if (answer.type === 'accepted') this.accepted({ call, work: answer.work, request: wish.request })
    if (answer.type === 'refused' && answer.verdict === 'not-run' && 'retryAfterMs' in answer.refusal) this.sendAgain(wish, attempt)
    else if (wish.request.idempotencyKey !== undefined && this.options.random.next() < 0.1) this.sendAgain(wish, attempt)
  }

  /** Only with an idempotency key does another call mean the same request; without one the caller gives up. */
  private sendAgain (wish: Wish, attempt: number): void {
    if (wish.request.idempotencyKey === undefined || attempt >= MOST_CALLS_PER_REQUEST || this.options.queue.now >= wish.deadlineAt) return
    this.options.queue.after(REPEAT_AFTER_MS * this.options.random.next(), () => this.send(wish, attempt + 1))
  }

  /** Services are cancelled after a while, because they would use up the limits of their teams. */
  private accepted (job: AcceptedJob): void {
    this.jobs.push(job)
    if (job.request.submission.kind !== 'service') return
    this.options.queue.after(SERVICE_LIFE_MS, () => {
      if (this.jobs.includes(job)) this.cancel(job)
    })
  }

  private cancel (job: AcceptedJob): void {
    const { members, observe, random } = this.options
    const live = members.live()
    const member = live[random.nextInt(live.length)]
    if (member === undefined) return
    observe({ type: 'caller-cancelled', call: job.call })
    const ignored = (): void => {}
    members.cancel(member, job.work, job.request.key, { answered: ignored, disconnected: ignored })
  }
}
