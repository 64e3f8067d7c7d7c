import type { IngressSettings } from '../ingress/ingress-settings.ts'

/** Settings of one member, which are read when it starts. Times are in milliseconds. */
export type Settings = {
  readonly member: {
    readonly id: string
    readonly failureDomain: string
  }
  readonly callers: { readonly listen: string }
  readonly peers: {
    readonly listen: string
    readonly advertise: string
    readonly seeds: readonly SeedPeer[]
  }
  readonly store: { readonly address: string }
  readonly hostList: { readonly address: string }
  readonly groups: number
  readonly operatorKeyHash: string
  readonly timings: Timings
  readonly limits: Limits
  readonly ingress: IngressSettings
  readonly tls: Tls
  readonly log: { readonly level: 'debug' | 'info' | 'warn' | 'error' }
}

/** A member from which another member may request the roster when it starts. */
export type SeedPeer = { readonly id: string, readonly address: string }

/** Intervals, leases and timeouts of the protocols; the settings table describes each of them. */
export type Timings = {
  readonly heartbeatIntervalMs: number
  readonly renewalPromiseMs: number
  readonly storeLeaseMs: number
  readonly storeLeaseRenewalMs: number
  readonly taskLeaseMs: number
  readonly syncWaitMs: number
  readonly freshnessWindowMs: number
  readonly resultRetentionMs: number
  readonly groupCommitGatherMs: number
  readonly pauseThresholdMs: number
}

/** Limits on the requests that one member accepts from callers. */
export type Limits = {
  readonly bodyBytes: number
  readonly waitingConnections: number
  readonly urgentReservePercent: number
}

/** Files for mutual TLS between members; either all three are set or none. */
export type Tls = {
  readonly certificateFile?: string
  readonly keyFile?: string
  readonly authorityFile?: string
}
