import PQueue from 'p-queue'
import type { Member } from '../core/member.ts'
import type { Effect } from '../core/effect.ts'
import type { CountEffect, LogEffect } from '../model/report.ts'
import type { HostList } from '../ports/host-list.ts'
import type { PeerTransport } from '../ports/peer-transport.ts'
import type { Store } from '../ports/store.ts'
import type { TargetClient } from '../ports/target-client.ts'
import { err } from 'neverthrow'
import type { Callers } from './callers.ts'
import type { Clock } from './clock.ts'
import type { MemberEvent } from './loop.ts'

/** Maximum number of concurrent calls to targets; `sync` calls, which wait for a task to end, are not limited. */
const MAX_CONCURRENT_TARGET_CALLS = 256
/** Maximum number of messages that are sent to other members at the same time. */
const MAX_CONCURRENT_PEER_SENDS = 256

/** Takes counts and log lines. */
export type Reporter = {
  readonly count: (effect: CountEffect) => void
  readonly log: (effect: LogEffect) => void
}

/** The outside systems that effects are sent to. */
export type RunnerPorts = {
  readonly store: Store
  readonly hostList: HostList
  readonly targets: TargetClient
  readonly peers: PeerTransport
}

/** Options of the runner. */
export type RunnerOptions = {
  readonly member: Member
  readonly memberId: string
  readonly ports: RunnerPorts
  readonly callers: Callers
  readonly reporter: Reporter
  readonly clock: Clock
  readonly dispatch: (event: MemberEvent) => void
  /** Called when the member has left the cluster. */
  readonly onLeft: () => void
}

/** Executes the effects of the member and dispatches their results as events. */
export class Runner {
  private readonly targetCalls = new PQueue({ concurrency: MAX_CONCURRENT_TARGET_CALLS })
  private readonly peerSends = new PQueue({ concurrency: MAX_CONCURRENT_PEER_SENDS })

  private constructor (private readonly options: RunnerOptions) {}

  /**
   * Creates a runner for the effects of a member.
   *
   * @example
   * Runner.create(options).run(member.apply(event))
   */
  static create (options: RunnerOptions): Runner {
    return new Runner(options)
  }

  /** Starts all effects in order, without waiting for their completion. */
  run (effects: readonly Effect[]): void {
    for (const effect of effects) this.startEffect(effect)
  }

  private startEffect (effect: Effect): void {
    const { callers, reporter, onLeft } = this.options
    switch (effect.type) {
      case 'store-call': return this.logFailure(this.callStore(effect))
      case 'target-call': return this.enqueueTargetCall(effect)
      case 'read-host-list': return this.logFailure(this.readHostList())
      case 'peer-send': return this.sendPeer(effect)
      case 'answer-caller': return callers.resolveSubmission(effect)
      case 'reply-caller': return callers.resolveRequest(effect)
      case 'refuse-request': return callers.refuseRequest(effect)
      case 'publish-answered': return callers.resolvePublication(effect)
      case 'left': return onLeft()
      case 'count': return reporter.count(effect)
      case 'log': return reporter.log(effect)
    }
  }

  private async callStore ({ callId, call }: Extract<Effect, { type: 'store-call' }>): Promise<void> {
    const result = await this.options.ports.store.call(call)
    this.options.dispatch({ type: 'store-answered', callId, result })
  }

  private async readHostList (): Promise<void> {
    const result = await this.options.ports.hostList.read()
    this.options.dispatch({ type: 'host-list-answered', result })
  }

  private enqueueTargetCall (effect: Extract<Effect, { type: 'target-call' }>): void {
    if (effect.call.type === 'sync') return this.logFailure(this.callTarget(effect))
    this.logFailure(this.targetCalls.add(async () => await this.callTarget(effect)))
  }

  /** The right to act is checked immediately before sending, because the process may have been paused since the decision. */
  private async callTarget ({ callId, target, call }: Extract<Effect, { type: 'target-call' }>): Promise<void> {
    const { member, clock, ports, dispatch, reporter } = this.options
    if (!member.mayAct(call.group, clock.now())) {
      reporter.count({ type: 'count', counter: 'target-call-dropped', reason: 'not-owner' })
      dispatch({ type: 'target-answered', callId, result: err({ reason: 'unavailable', verdict: 'not-run' }) })
      return
    }
    const result = await ports.targets.call(target, call)
    dispatch({ type: 'target-answered', callId, result })
  }

  private sendPeer ({ to, address, message }: Extract<Effect, { type: 'peer-send' }>): void {
    const { member, memberId, ports, reporter } = this.options
    const envelope = { from: memberId, incarnation: member.incarnation, message }
    this.logFailure(this.peerSends.add(async () => {
      const result = await ports.peers.send(to, address, envelope)
      if (result.isErr()) reporter.count({ type: 'count', counter: 'peer-send-failed', reason: result.error.reason })
    }))
  }

  /** Logs an exception of an effect. Ports return failures as values, so an exception is a bug and must not be ignored. */
  private logFailure (execution: Promise<unknown>): void {
    execution.catch((error: unknown) => {
      const text = error instanceof Error ? (error.stack ?? error.message) : String(error)
      this.options.reporter.log({ type: 'log', level: 'error', message: 'effect-failed', fields: { error: text } })
    })
  }
}
