import { createHmac, randomBytes, scrypt } from 'node:crypto'
import PQueue from 'p-queue'
import type { Key } from '../model/configuration.ts'
import { LruCache } from './lru-cache.ts'
import { equalBytes, SCRYPT_COST, type PresentedKey } from './team-key.ts'

/** Result of a key check. `busy`: too many keys without a cached result are being checked; the caller may retry. */
export type KeyCheckResult = 'valid' | 'wrong' | 'busy'

/** Limits of a key verifier. */
export type KeyVerifierOptions = {
  /** Maximum number of cached results. Default 4096, about ten for each of 340 teams. */
  readonly maxCachedResults: number
  /** Maximum number of concurrent scrypt computations. Default 2, half of the default thread pool of Node.js. */
  readonly maxConcurrent: number
  /** Maximum number of checks that wait for a computation. Default 64; further checks return `busy`. */
  readonly maxQueued: number
}

const DEFAULT_OPTIONS: KeyVerifierOptions = { maxCachedResults: 4096, maxConcurrent: 2, maxQueued: 64 }
const HMAC_KEY_BYTES = 32

/**
 * Verifies team keys without blocking the event loop.
 *
 * The cache key of a result is an HMAC, with a key of this process, of the secret and of the stored salt and hash. The
 * cache therefore contains no secrets, and a replaced key does not match its previous entry. The caller must first find
 * the key in the configuration; a withdrawn key is absent there and is never verified.
 *
 * @example
 * const verifier = KeyVerifier.create()
 * await verifier.verify(presented, configuration.keys.get(presented.id)!)
 */
export class KeyVerifier {
  private readonly hmacKey = randomBytes(HMAC_KEY_BYTES)
  private readonly cache: LruCache<string, 'valid' | 'wrong'>
  private readonly pending = new Map<string, Promise<KeyCheckResult>>()
  private readonly queue: PQueue

  private constructor (private readonly options: KeyVerifierOptions) {
    this.cache = LruCache.create(options.maxCachedResults)
    this.queue = new PQueue({ concurrency: options.maxConcurrent })
  }

  static create (options: Partial<KeyVerifierOptions> = {}): KeyVerifier {
    return new KeyVerifier({ ...DEFAULT_OPTIONS, ...options })
  }

  /** Number of cached results. */
  get cachedCount (): number {
    return this.cache.size
  }

  /** Returns the cached result, or undefined if `verify` must compute it. */
  getCached (presented: PresentedKey, key: Key): 'valid' | 'wrong' | undefined {
    return this.cache.get(this.createCacheKey(presented, key))
  }

  /** Returns the cached result, or computes it with scrypt; concurrent checks of the same key share one computation. */
  async verify (presented: PresentedKey, key: Key): Promise<KeyCheckResult> {
    const cacheKey = this.createCacheKey(presented, key)
    const existing = this.cache.get(cacheKey) ?? this.pending.get(cacheKey)
    if (existing !== undefined) return await existing
    if (this.queue.size >= this.options.maxQueued) return 'busy'
    const check = this.queue.add(async () => await this.computeResult(cacheKey, presented, key)) as Promise<KeyCheckResult>
    this.pending.set(cacheKey, check)
    return await check.finally(() => this.pending.delete(cacheKey))
  }

  private async computeResult (cacheKey: string, presented: PresentedKey, key: Key): Promise<KeyCheckResult> {
    const stored = Buffer.from(key.hash, 'hex')
    const hash = await scryptHash(presented.secret, Buffer.from(key.salt, 'hex'), stored.length)
    const result = stored.length > 0 && equalBytes(hash, stored) ? 'valid' : 'wrong'
    this.cache.set(cacheKey, result)
    return result
  }

  private createCacheKey (presented: PresentedKey, key: Key): string {
    return createHmac('sha256', this.hmacKey).update(`${key.id}.${key.salt}.${key.hash}.${presented.secret}`).digest('base64')
  }
}

async function scryptHash (secret: string, salt: Buffer, length: number): Promise<Buffer> {
  return await new Promise((resolve, reject) => {
    scrypt(secret, salt, length, SCRYPT_COST, (error, hash) => error === null ? resolve(hash) : reject(error))
  })
}
