import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import type { PublishOutcome } from '../cluster/effect.ts'
import type { Effect } from '../core/effect.ts'
import type { CallerRequest, Credential, Submission } from '../frontend/event.ts'
import type { Change } from '../model/configuration.ts'
import type { SubmissionResponse, GroupResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { MemberEvent } from './loop.ts'

type SubmissionResponseEffect = Extract<Effect, { type: 'answer-caller' }>
type RequestResponseEffect = Extract<Effect, { type: 'reply-caller' }>
type RequestRefusalEffect = Extract<Effect, { type: 'refuse-request' }>
type PublicationEffect = Extract<Effect, { type: 'publish-answered' }>

/** Response to submitted work; `work` is its id, or undefined if the submission was refused before it got one. */
export type SubmissionResult = { readonly work: string | undefined, readonly response: SubmissionResponse }

/** A submission that waits for its result; `abandon` is called when the caller has disconnected. */
export type WaitingSubmission = { readonly result: Promise<SubmissionResult>, readonly abandon: () => void }

/** Work to submit. `suffix` is the end of its id, which is derived from the idempotency key if there is one. */
export type SubmittedWork = { readonly suffix: string, readonly hasIdempotencyKey: boolean, readonly credential: Credential, readonly submission: Submission }

/** Translates calls of the HTTP interface to events of the member, and its effects to the results of these calls. */
export class Callers {
  private readonly submissions = new Map<string, (result: SubmissionResult) => void>()
  private readonly requests = new Map<string, (result: Result<GroupResponse, Refusal>) => void>()
  private readonly publications = new Map<string, (outcome: PublishOutcome) => void>()

  private constructor (private readonly dispatch: (event: MemberEvent) => void) {}

  /**
   * Creates a registry without waiting callers.
   *
   * @example
   * Callers.create((event) => loop.dispatch(event))
   */
  static create (dispatch: (event: MemberEvent) => void): Callers {
    return new Callers(dispatch)
  }

  /** Submits work; the nonce that identifies the caller is random, so that a response can't reach another caller. */
  submit (work: SubmittedWork): WaitingSubmission {
    const nonce = randomUUID()
    const result = new Promise<SubmissionResult>((resolve) => this.submissions.set(nonce, resolve))
    this.dispatch({ type: 'caller-submitted', nonce, ...work })
    const abandon = (): void => {
      if (this.submissions.delete(nonce)) this.dispatch({ type: 'caller-gone', nonce })
    }
    return { result, abandon }
  }

  /** Sends a request to the owner of a group and waits for the response. */
  async requestFromOwner (credential: Credential, request: CallerRequest): Promise<Result<GroupResponse, Refusal>> {
    const nonce = randomUUID()
    return await new Promise((resolve) => {
      this.requests.set(nonce, resolve)
      this.dispatch({ type: 'caller-requested', nonce, credential, request })
    })
  }

  /** Publishes changes of the configuration; `expected` is the revision that the author saw. */
  async publish (author: string, expected: number | undefined, changes: readonly Change[]): Promise<PublishOutcome> {
    const requestId = randomUUID()
    return await new Promise((resolve) => {
      this.publications.set(requestId, resolve)
      this.dispatch({ type: 'publish-requested', requestId, author, expected, changes })
    })
  }

  resolveSubmission (effect: SubmissionResponseEffect): void {
    removeEntry(this.submissions, effect.nonce)?.({ work: effect.work, response: effect.response })
  }

  resolveRequest (effect: RequestResponseEffect): void {
    removeEntry(this.requests, effect.nonce)?.(ok(effect.response))
  }

  refuseRequest (effect: RequestRefusalEffect): void {
    removeEntry(this.requests, effect.nonce)?.(err(effect.refusal))
  }

  resolvePublication (effect: PublicationEffect): void {
    removeEntry(this.publications, effect.requestId)?.(effect.outcome)
  }
}

function removeEntry<Value> (map: Map<string, Value>, key: string): Value | undefined {
  const value = map.get(key)
  map.delete(key)
  return value
}
