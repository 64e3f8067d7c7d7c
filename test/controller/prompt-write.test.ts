import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { shouldTryAgain, writePromptly } from '../../src/controller/prompt-write.ts'
import type { StoreFailure } from '../../src/ports/store.ts'
import { VirtualTime } from './virtual-time.ts'

const decisions = [
  { guards: 'a write whose response alone was lost is left unknown', write: { attempts: 1, isStoreResponsive: true, remainingMs: 1 }, again: true },
  { guards: 'one lost response is taken for an outage', write: { attempts: 1, isStoreResponsive: false, remainingMs: 1 }, again: true },
  { guards: 'a caller is kept waiting for a store that does not respond', write: { attempts: 2, isStoreResponsive: false, remainingMs: 2_000 }, again: false },
  { guards: 'a write is given up while the store responds to others', write: { attempts: 5, isStoreResponsive: true, remainingMs: 1 }, again: true },
  { guards: 'a write is made after the deadline', write: { attempts: 1, isStoreResponsive: true, remainingMs: 0 }, again: false }
]

for (const { guards, write, again } of decisions) {
  test(`prompt write: guards against the failure that ${guards}`, () => assert.equal(shouldTryAgain(write), again))
}

type Attempt = { readonly afterMs: number, readonly result: Result<number, StoreFailure> }

const STORED = ok(1)
const REFUSED = err({ reason: 'unavailable', verdict: 'not-applied' } as const)
const LOST = err({ reason: 'timeout', verdict: 'may-have-applied' } as const)
const BROKEN = err({ reason: 'unavailable', verdict: 'may-have-applied' } as const)
const SILENT: Attempt = { afterMs: 1_000, result: LOST }

const writes: ReadonlyArray<{ readonly guards: string, readonly attempts: readonly Attempt[], readonly responsive: boolean, readonly deadlineMs?: number, readonly expected: Attempt, readonly made: number }> = [
  { guards: 'a write that the store refuses is repeated', attempts: [{ afterMs: 5, result: REFUSED }], responsive: false, expected: { afterMs: 5, result: REFUSED }, made: 1 },
  { guards: 'a caller of a silent store is held until its deadline', attempts: [SILENT, SILENT], responsive: false, expected: { afterMs: 600, result: LOST }, made: 2 },
  { guards: 'a write without a response counts as not applied once the store refuses it', attempts: [{ afterMs: 5, result: BROKEN }, { afterMs: 5, result: REFUSED }], responsive: false, expected: { afterMs: 110, result: BROKEN }, made: 2 },
  { guards: 'a write whose response was lost is not repeated', attempts: [SILENT, { afterMs: 5, result: STORED }], responsive: false, expected: { afterMs: 405, result: STORED }, made: 2 },
  { guards: 'a response that comes late is ignored', attempts: [{ afterMs: 500, result: STORED }, SILENT], responsive: false, expected: { afterMs: 500, result: STORED }, made: 2 },
  { guards: 'a response comes after the deadline', attempts: [SILENT], responsive: true, deadlineMs: 300, expected: { afterMs: 300, result: LOST }, made: 1 },
  { guards: 'a response comes after the deadline of a store that responds to others', attempts: [SILENT], responsive: true, deadlineMs: 2_000, expected: { afterMs: 2_000, result: LOST }, made: 4 }
]

for (const { guards, attempts, responsive, deadlineMs = 2_850, expected, made } of writes) {
  test(`prompt write: guards against the failure that ${guards}`, async () => {
    const time = VirtualTime.install()
    try {
      let count = 0
      let ended: { readonly afterMs: number, readonly result: unknown } | undefined
      const write = (): Promise<Result<number, StoreFailure>> => {
        const { afterMs, result } = attempts[Math.min(count, attempts.length - 1)]!
        count += 1
        return new Promise((resolve) => { setTimeout(() => resolve(result), afterMs) })
      }
      time.schedule(0, () => {
        const startedAt = time.nowMs
        writePromptly({ write, isStoreResponsive: () => responsive, deadline: performance.now() + deadlineMs }).then((result) => { ended = { afterMs: time.nowMs - startedAt, result } }, assert.fail)
      })
      await time.advance(4_000)
      assert.deepEqual(ended, expected)
      assert.equal(count, made)
    } finally {
      time.uninstall()
    }
  })
}
