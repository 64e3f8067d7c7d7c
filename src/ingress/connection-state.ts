import { assertNever } from '../util/assert-never.ts'
import type { IngressLimits } from './ingress-limits.ts'

/**
 * What a connection is doing, and since when on the monotonic clock in milliseconds:
 * - `unused`: open without a request so far;
 * - `receiving`: a request has begun and is not complete;
 * - `serving`: the request is complete and its response is being prepared;
 * - `unread`: the response is not sent to its end;
 * - `idle`: between two requests;
 * - `lingering`: this side is closed, and the rest of what the caller sends is discarded.
 */
export type ConnectionState = {
  readonly phase: 'unused' | 'receiving' | 'serving' | 'unread' | 'idle' | 'lingering'
  readonly sinceMs: number
  /** Bytes that were received and not passed on, and those of the body. */
  readonly heldBytes: number
  readonly unreadBytes: number
}

/** Why a connection was closed for its age. */
export type OverdueReason = 'idle' | 'request-timeout' | 'response-timeout' | 'stopping' | 'lingering'

/** Time to read a last response after this side was closed, in milliseconds. */
const LINGER_MS = 2_000
/** Time that unfinished requests and unread responses get when the server stops, in milliseconds. */
const STOP_MS = 1_500

/**
 * Returns why a connection has to be closed now, or undefined. `stoppingSinceMs`: when the server began to close.
 *
 * @example
 * findOverdue({ phase: 'idle', sinceMs: 0, heldBytes: 0, unreadBytes: 0 }, limits, 80_000, undefined) // 'idle'
 */
export function findOverdue ({ phase, sinceMs }: ConnectionState, limits: IngressLimits, now: number, stoppingSinceMs: number | undefined): OverdueReason | undefined {
  const ageMs = now - sinceMs
  const hasToStop = stoppingSinceMs !== undefined && now - stoppingSinceMs > STOP_MS
  switch (phase) {
    case 'serving': return undefined
    case 'lingering': return ageMs > LINGER_MS ? 'lingering' : undefined
    case 'unused':
    case 'idle': return hasToStop ? 'stopping' : ageMs > limits.idleTimeoutMs ? 'idle' : undefined
    case 'receiving': return hasToStop ? 'stopping' : ageMs > limits.requestTimeoutMs ? 'request-timeout' : undefined
    case 'unread': return hasToStop ? 'stopping' : ageMs > limits.responseTimeoutMs ? 'response-timeout' : undefined
    default: return assertNever(phase)
  }
}

/**
 * Chooses the connection to give up, so that memory, a place of a request or a descriptor becomes free: the oldest unfinished
 * request, then the most unread response. For memory, pipelined requests behind one that is being served come last; for a
 * descriptor, the longest idle connection. Returns undefined if there is none: what is being served is never given up.
 *
 * @example
 * chooseVictim([connection], ({ state }) => state, 'descriptor')
 */
export function chooseVictim<Candidate> (candidates: Iterable<Candidate>, getState: (candidate: Candidate) => ConnectionState, need: Need): Candidate | undefined {
  let victim: Candidate | undefined
  let lowest: Rank | undefined
  for (const candidate of candidates) {
    const rank = RANKS[need](getState(candidate))
    if (rank === undefined || (lowest !== undefined && !isLower(rank, lowest))) continue
    victim = candidate
    lowest = rank
  }
  return victim
}

const RANKS = { bytes: rankForBytes, request: rankForRequest, descriptor: rankForDescriptor } as const
/** What has to become free. */
export type Need = keyof typeof RANKS

/** The class of a connection, and its order within the class; the lowest is given up first. */
type Rank = readonly [number, number]

function rankForBytes ({ phase, sinceMs, heldBytes, unreadBytes }: ConnectionState): Rank | undefined {
  if (phase === 'unread') return unreadBytes + heldBytes > 0 ? [1, -unreadBytes - heldBytes] : undefined
  if (heldBytes === 0) return undefined
  return phase === 'serving' ? [2, -heldBytes] : [0, sinceMs]
}

function rankForRequest ({ phase, sinceMs, unreadBytes }: ConnectionState): Rank | undefined {
  if (phase === 'receiving') return [0, sinceMs]
  return phase === 'unread' && unreadBytes > 0 ? [1, -unreadBytes] : undefined
}

function rankForDescriptor ({ phase, sinceMs, unreadBytes }: ConnectionState): Rank | undefined {
  switch (phase) {
    case 'lingering': return [0, sinceMs]
    case 'unused':
    case 'receiving': return [1, sinceMs]
    case 'unread': return [2, -unreadBytes]
    case 'idle': return [3, sinceMs]
    case 'serving': return undefined
    default: return assertNever(phase)
  }
}

function isLower ([leftClass, left]: Rank, [rightClass, right]: Rank): boolean {
  return leftClass === rightClass ? left < right : leftClass < rightClass
}
