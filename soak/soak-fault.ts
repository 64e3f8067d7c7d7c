import type { WorkerDelay } from '../platform/standin/worker-server.ts'
import type { LinkState } from './proxied-stream.ts'
import type { AwayState, CutState, UnseenRestart } from './soak-worker.ts'
import type { StoreTrouble } from './store-trouble.ts'

/** A fault that is caused from outside the member processes. Several faults may overlap. */
export type SoakFault =
  | { readonly type: 'kill' | 'terminate', readonly member: number }
  | { readonly type: 'pause', readonly member: number, readonly forMs: number }
  | { readonly type: 'kill-all' | 'terminate-all' }
  /** The members are away for a while and start at the same time. */
  | { readonly type: 'power-cut', readonly members: readonly number[], readonly forMs: number }
  /** The member starts again at another address. */
  | { readonly type: 'replace' | 'replace-planned', readonly member: number }
  | { readonly type: 'store', readonly mode: 'busy' | 'silent' | 'reset', readonly pausesLeases: boolean, readonly forMs: number }
  /** Watches hear nothing for a while. Then the history is discarded and they must read again. */
  | { readonly type: 'store-compact' }
  | { readonly type: 'store-answers-lost', readonly count: number }
  | { readonly type: 'store-link', readonly member: number, readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'worker-link', readonly worker: number, readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'advisor-link', readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'worker-crash', readonly worker: number }
  /** Some workers are cut off from the members and the store; with `reborn` they crash behind the cut. */
  | { readonly type: 'workers-cut', readonly cut: WorkersCut, readonly forMs: number }
  | { readonly type: 'workers-flap', readonly workers: readonly number[], readonly reborn: boolean, readonly forMs: number }
  /** Some workers end and start again after a long time; with `reborn` they also crash and start again before. */
  | { readonly type: 'workers-gone', readonly gone: WorkersGone }
  | { readonly type: 'workers-reborn-gone', readonly gone: WorkersGone, readonly afterMs: number }
  /** Some workers end, and leaders fail one after another beside them. */
  | { readonly type: 'departures', readonly gone: WorkersGone, readonly leaders: readonly LeaderLoss[] }
  /** Some workers restart without a sign; then leaders fail, and the workers are cut off. */
  | Recut
  /** Some workers drain for a while and leave for good, and new ones join. */
  | { readonly type: 'workers-drain', readonly workers: readonly number[], readonly forMs: number }
  | { readonly type: 'late-orders', readonly share: number, readonly forMs: number }
  | { readonly type: 'domain-out', readonly domain: string, readonly forMs: number }
  | { readonly type: 'configuration' }
  | { readonly type: 'stutter', readonly members: 'all' | 'leader', readonly runMs: number, readonly pauseMs: number, readonly forMs: number }
  | { readonly type: 'slow-workers', readonly delay: WorkerDelay, readonly forMs: number }
  /** The current leader fails, and nothing else. */
  | { readonly type: 'leader', readonly leader: LeaderFailure, readonly forMs: number }
  /** The current leader fails, and after a while the store too, so that the members take over during its trouble. */
  | Takeover

/** A failure of the current leader, with the trouble that surrounds it. */
export type Takeover = {
  readonly type: 'takeover'
  readonly leader: LeaderFailure
  readonly afterMs: number
  readonly trouble: StoreTrouble
  readonly delay: WorkerDelay
  /** The workers that are cut off meanwhile. */
  readonly cut: WorkersCut
  /** Ratio of the calls to workers that are carried out late meanwhile. */
  readonly lateOrders: number
  readonly forMs: number
  readonly seed: number
}

/** A restart of workers that no connection shows, with the failure of leaders and the cut that follow it. */
export type Recut = {
  readonly type: 'recut'
  readonly workers: readonly number[]
  readonly restart: UnseenRestart
  /** The first one fails the given time after the workers are back, each other one after the one before. */
  readonly leaders: readonly LeaderLoss[]
  /** The cut begins after this time since the workers are back. */
  readonly cutAfterMs: number
  readonly state: CutState
  readonly forMs: number
}

/** Workers that are cut off; with `reborn` they crash meanwhile. */
export type WorkersCut = { readonly workers: readonly number[], readonly state: CutState, readonly reborn: boolean }

/** Workers that go away for a while, and how their addresses behave meanwhile. */
export type WorkersGone = { readonly workers: readonly number[], readonly state: AwayState, readonly forMs: number }

/**
 * `replace-silent`, `replace-closing`: as `replace`, and the address before accepts connections and stays
 * silent, or closes them. `refuse`: the leader runs on over the connections to workers that it has
 * opened; it refuses and gets no others, and its link to the store is silent.
 */
export type LeaderFailure = 'kill' | 'terminate' | 'power' | 'replace' | 'replace-silent' | 'replace-closing' | 'replace-planned' | 'pause' | 'cut' | 'hold' | 'refuse' | 'none'

/** A failure of the leader after a time since the failure before. */
export type LeaderLoss = { readonly afterMs: number, readonly leader: LeaderFailure, readonly forMs: number }

/**
 * The type of a fault; for a takeover with the trouble of the store and the failure of the leader, for a failure of the
 * leader alone and for a recut with the kind of the (first) failure, and for a trouble of the store alone with its mode.
 *
 * @example
 * getKind({ type: 'store', mode: 'busy', pausesLeases: false, forMs: 500 }) // 'store/busy'
 */
export function getKind (fault: SoakFault): string {
  switch (fault.type) {
    case 'takeover': return `${fault.type}/${fault.trouble}/${fault.leader}`
    case 'leader': return `${fault.type}/${fault.leader}`
    case 'recut': return `${fault.type}/${fault.leaders[0]?.leader ?? 'none'}`
    case 'store': return `${fault.type}/${fault.mode}`
    default: return fault.type
  }
}
