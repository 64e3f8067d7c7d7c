import type { Peer } from './member-call.ts'

/** A member that has not sent a hello for this time, in milliseconds, counts as gone. */
const PEER_TIMEOUT_MS = 5_000

/** The other members that have sent a hello to the leader recently. */
export class RecentPeers {
  private readonly peers = new Map<string, { readonly peer: Peer, readonly seenAt: number }>()

  private constructor () {}

  /**
   * Creates a list without members.
   *
   * @example
   * const peers = RecentPeers.create()
   * peers.record({ member: 'entry-2', address: '10.0.0.2:7420' }) // true
   */
  static create (): RecentPeers {
    return new RecentPeers()
  }

  get list (): readonly Peer[] {
    return [...this.peers.values()].map(({ peer }) => peer)
  }

  /** Some of them, beginning at a random one. */
  sample (count: number): readonly Peer[] {
    const { list } = this
    const first = Math.floor(Math.random() * list.length)
    return [...list.slice(first), ...list.slice(0, first)].slice(0, count)
  }

  /** Records a hello. Returns whether the member is new, or has another address than before. */
  record (peer: Peer): boolean {
    const known = this.peers.get(peer.member)
    this.peers.set(peer.member, { peer, seenAt: performance.now() })
    return known?.peer.address !== peer.address
  }

  /** Removes the members that count as gone, and returns their names. */
  removeSilent (): readonly string[] {
    const silent = [...this.peers].filter(([, { seenAt }]) => performance.now() - seenAt >= PEER_TIMEOUT_MS).map(([member]) => member)
    for (const member of silent) this.peers.delete(member)
    return silent
  }
}
