import type { AdviceChannel } from './advice-dispatcher.ts'
import type { ControllerOptions } from '../controller-options.ts'
import type { Peer } from '../member-call.ts'

/** Factor on the time that the advisor needs for a request. */
const TIMEOUT_FACTOR = 1.5
/** Time for the way to the advisor and back, in milliseconds. */
const TRANSPORT_MS = 500

/**
 * Creates the channel on which a leader requests advice through a member.
 *
 * @example
 * adviceDispatcher.addChannel(createAdviceChannel(options, { member: 'entry-2', address: '10.0.0.2:7420' }))
 */
export function createAdviceChannel ({ self, advisor, requestPeerAdvice }: Pick<ControllerOptions, 'self' | 'advisor' | 'requestPeerAdvice'>, peer: Peer): AdviceChannel {
  return {
    name: peer.member,
    send: ({ step, targets, costMs }) => {
      const timeoutMs = costMs * TIMEOUT_FACTOR + TRANSPORT_MS
      return peer.member === self.member ? advisor.advise(step, targets, timeoutMs) : requestPeerAdvice(peer, step, targets, timeoutMs)
    }
  }
}
