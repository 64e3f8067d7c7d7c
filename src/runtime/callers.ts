import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import type { PublishOutcome } from '../cluster/effect.ts'
import type { Effect } from '../core/effect.ts'
import type { CallerRequest, Credential, Submission } from '../frontend/event.ts'
import type { Change } from '../model/configuration.ts'
import type { SubmissionResponse, GroupResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { MemberEvent } from './loop.ts'

type AnswerEffect = Extract<Effect, { type: 'answer-caller' }>
type ReplyEffect = Extract<Effect, { type: 'reply-caller' }>
type RefuseEffect = Extract<Effect, { type: 'refuse-request' }>
type PublishEffect = Extract<Effect, { type: 'publish-answered' }>

/** Answer to submitted work, with its id if the work was passed on. */
export type SubmissionAnswer = { readonly work: string | undefined, readonly answer: SubmissionResponse }

/** A submission that waits; `abandon` tells that its caller is gone. */
export type WaitingSubmission = { readonly answered: Promise<SubmissionAnswer>, readonly abandon: () => void }

/** Work as it is submitted: the end of its id, and whether that comes from an idempotency key. */
export type SubmittedWork = { readonly suffix: string, readonly hasIdempotencyKey: boolean, readonly credential: Credential, readonly submission: Submission }

/** Connects waiting callers of the HTTP interface with the events and effects of the member. */
export class Callers {
  private readonly submissions = new Map<string, (answer: SubmissionAnswer) => void>()
  private readonly requests = new Map<string, (result: Result<GroupResponse, Refusal>) => void>()
  private readonly publications = new Map<string, (outcome: PublishOutcome) => void>()

  private constructor (private readonly dispatch: (event: MemberEvent) => void) {}

  /**
   * Starts without waiting callers.
   *
   * @example
   * Callers.create((event) => loop.dispatch(event))
   */
  static create (dispatch: (event: MemberEvent) => void): Callers {
    return new Callers(dispatch)
  }

  /** Submits work; the nonce that names the caller is random, so that no answer can reach another one. */
  submit (work: SubmittedWork): WaitingSubmission {
    const nonce = randomUUID()
    const answered = new Promise<SubmissionAnswer>((resolve) => this.submissions.set(nonce, resolve))
    this.dispatch({ type: 'caller-submitted', nonce, ...work })
    const abandon = (): void => {
      if (this.submissions.delete(nonce)) this.dispatch({ type: 'caller-gone', nonce })
    }
    return { answered, abandon }
  }

  /** Asks the owner of a group. */
  async ask (credential: Credential, request: CallerRequest): Promise<Result<GroupResponse, Refusal>> {
    const nonce = randomUUID()
    return await new Promise((resolve) => {
      this.requests.set(nonce, resolve)
      this.dispatch({ type: 'caller-requested', nonce, credential, request })
    })
  }

  /** Publishes changes of the configuration. */
  async publish (author: string, expected: number | undefined, changes: readonly Change[]): Promise<PublishOutcome> {
    const requestId = randomUUID()
    return await new Promise((resolve) => {
      this.publications.set(requestId, resolve)
      this.dispatch({ type: 'publish-requested', requestId, author, expected, changes })
    })
  }

  answer (effect: AnswerEffect): void {
    take(this.submissions, effect.nonce)?.({ work: effect.work, answer: effect.response })
  }

  reply (effect: ReplyEffect): void {
    take(this.requests, effect.nonce)?.(ok(effect.response))
  }

  refuse (effect: RefuseEffect): void {
    take(this.requests, effect.nonce)?.(err(effect.refusal))
  }

  published (effect: PublishEffect): void {
    take(this.publications, effect.requestId)?.(effect.outcome)
  }
}

function take<Value> (map: Map<string, Value>, key: string): Value | undefined {
  const value = map.get(key)
  map.delete(key)
  return value
}
