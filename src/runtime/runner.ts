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

/** Calls to targets that may be under way at once, without those that wait for a task to end. */
const TARGET_CALLS = 256
/** Messages to other members that may be under way at once. */
const PEER_SENDS = 256

/** Where counts and log lines go. */
export type Recorder = {
  readonly count: (effect: CountEffect) => void
  readonly log: (effect: LogEffect) => void
}

export type RunnerPorts = {
  readonly store: Store
  readonly hostList: HostList
  readonly targets: TargetClient
  readonly peers: PeerTransport
}

export type RunnerOptions = {
  readonly member: Member
  readonly memberId: string
  readonly ports: RunnerPorts
  readonly callers: Callers
  readonly recorder: Recorder
  readonly clock: Clock
  readonly dispatch: (event: MemberEvent) => void
  readonly left: () => void
}

/** Carries out the effects of the member and turns their results into events. */
export class Runner {
  private readonly targetCalls = new PQueue({ concurrency: TARGET_CALLS })
  private readonly peerSends = new PQueue({ concurrency: PEER_SENDS })

  private constructor (private readonly options: RunnerOptions) {}

  /**
   * Connects a member to the outside.
   *
   * @example
   * Runner.create(options).run(member.apply(event))
   */
  static create (options: RunnerOptions): Runner {
    return new Runner(options)
  }

  /** Starts all effects in order; none is waited for. */
  run (effects: readonly Effect[]): void {
    for (const effect of effects) this.start(effect)
  }

  private start (effect: Effect): void {
    const { callers, recorder, left } = this.options
    switch (effect.type) {
      case 'store-call': return this.watchFailure(this.callStore(effect))
      case 'target-call': return this.queueTargetCall(effect)
      case 'read-host-list': return this.watchFailure(this.readHostList())
      case 'peer-send': return this.sendPeer(effect)
      case 'answer-caller': return callers.answer(effect)
      case 'reply-caller': return callers.reply(effect)
      case 'refuse-request': return callers.refuse(effect)
      case 'publish-answered': return callers.published(effect)
      case 'left': return left()
      case 'count': return recorder.count(effect)
      case 'log': return recorder.log(effect)
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

  private queueTargetCall (effect: Extract<Effect, { type: 'target-call' }>): void {
    if (effect.call.type === 'sync') return this.watchFailure(this.callTarget(effect))
    this.watchFailure(this.targetCalls.add(async () => await this.callTarget(effect)))
  }

  /** The right to act is checked at the moment of sending, because the process may have been paused since the decision. */
  private async callTarget ({ callId, target, call }: Extract<Effect, { type: 'target-call' }>): Promise<void> {
    const { member, clock, ports, dispatch, recorder } = this.options
    if (!member.mayAct(call.group, clock.now())) {
      recorder.count({ type: 'count', counter: 'target-call-dropped', reason: 'not-owner' })
      dispatch({ type: 'target-answered', callId, result: err({ reason: 'unavailable', verdict: 'not-run' }) })
      return
    }
    const result = await ports.targets.call(target, call)
    dispatch({ type: 'target-answered', callId, result })
  }

  private sendPeer ({ to, address, message }: Extract<Effect, { type: 'peer-send' }>): void {
    const { member, memberId, ports, recorder } = this.options
    const envelope = { from: memberId, incarnation: member.incarnation, message }
    this.watchFailure(this.peerSends.add(async () => {
      const result = await ports.peers.send(to, address, envelope)
      if (result.isErr()) recorder.count({ type: 'count', counter: 'peer-send-failed', reason: result.error.reason })
    }))
  }

  /** Ports report failures as values; an exception is a fault of the program and must not pass silently. */
  private watchFailure (running: Promise<unknown>): void {
    running.catch((error: unknown) => {
      const text = error instanceof Error ? (error.stack ?? error.message) : String(error)
      this.options.recorder.log({ type: 'log', level: 'error', message: 'effect-failed', fields: { error: text } })
    })
  }
}
