import type { Setting } from '../settings/setting.ts'

/** Limits on what callers can hold in a process before it has accepted their requests. */
export type IngressSettings = {
  readonly maxConnections: number
  readonly maxServiceConnections: number
  readonly reservedDescriptors: number
  readonly maxRequests: number
  readonly heldBytes: number
  readonly organisationPercent: number
  readonly requestTimeoutMs: number
  readonly responseTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** Rows of both settings tables, by JSON pointer. */
export const INGRESS_TABLE: Readonly<Record<`/ingress/${keyof IngressSettings}`, Setting>> = {
  '/ingress/maxConnections': row(1_000, 8, 100_000, 'connections', 'Maximum number of connections of callers, within the descriptors of the process less those that are reserved. A further connection replaces one that has sent no complete request, or an idle one.'),
  '/ingress/maxServiceConnections': row(64, 4, 10_000, 'connections', 'Maximum number of connections at each of the ports for readiness and metrics.'),
  '/ingress/reservedDescriptors': row(1_500, 0, 100_000, 'descriptors', 'Descriptors that connections of callers leave for files, the store, targets, relays and other members.'),
  '/ingress/maxRequests': row(600, 4, 100_000, 'requests', 'Maximum number of requests without a response; further ones are refused as not run.'),
  '/ingress/heldBytes': row(25_165_824, 65_536, 1_073_741_824, 'bytes', 'Maximum size of everything that callers have sent and that is not answered yet, and at most a tenth of the memory of the process. A single request within the limit of its body is always read.'),
  '/ingress/organisationPercent': row(50, 1, 100, '%', 'Part of `maxRequests` and `heldBytes` that one organisation may take. Requests without a key count as one organisation.'),
  '/ingress/requestTimeoutMs': row(30_000, 500, 600_000, 'ms', 'Time within which a request with its body and trailers has to arrive.'),
  '/ingress/responseTimeoutMs': row(60_000, 500, 600_000, 'ms', 'Time within which a caller has to read a response.'),
  '/ingress/idleTimeoutMs': row(75_000, 500, 600_000, 'ms', 'Time after which a connection without a request is closed.')
}

/** The limits of a process for which none are set. */
export const DEFAULT_INGRESS_SETTINGS = Object.fromEntries(Object.entries(INGRESS_TABLE).map(([pointer, setting]) => [pointer.split('/')[2], setting.default])) as IngressSettings

function row (defaultValue: number, min: number, max: number, unit: string, description: string): Setting {
  return { shape: { type: 'number', integer: true, min, max }, unit, default: defaultValue, description }
}
