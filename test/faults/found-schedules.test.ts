import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Injection } from '../../faults/injector.ts'
import { runInjections } from '../../faults/run-cell.ts'

/** Schedules with faults that random runs found and shrank; none may show a violation again. */
const schedules: readonly { readonly guards: string, readonly seed: number, readonly injections: readonly Injection[] }[] = [
  {
    guards: 'a grant that was lowered before it took effect is not used in full (npm run faults -- --random 600 --seed 5)',
    seed: 11,
    injections: [
      { step: 'peer:answer-received', fault: 'sender-pauses', occurrence: 3, notBefore: 55_814 },
      { step: 'peer:snapshot', fault: 'cancellation-wave', occurrence: 9, notBefore: 38_878 },
      { step: 'target:adopt', fault: 'late', occurrence: 4, notBefore: 55_853 },
      { step: 'peer:reply', fault: 'answer-lost', occurrence: 7, notBefore: 45_456 }
    ]
  },
  {
    guards: 'a request that is in transit when the shutdown is requested is accepted (seed 5)',
    seed: 998_894,
    injections: [
      { step: 'target:sync', fault: 'member-leaves', occurrence: 12, notBefore: 25_748 },
      { step: 'peer:revisions', fault: 'sender-pauses', occurrence: 10, notBefore: 39_704 },
      { step: 'peer:reply', fault: 'domain-out', occurrence: 5, notBefore: 30_461 },
      { step: 'store:grant-lease', fault: 'members-partitioned', occurrence: 1, notBefore: 15_159 },
      { step: 'peer:grant-asked', fault: 'store-down', occurrence: 1, notBefore: 18_295 }
    ]
  }
]

for (const { guards, seed, injections } of schedules) {
  test(`found schedule: ${guards}`, () => {
    assert.deepEqual(runInjections(seed, injections).violations.map(({ detail }) => detail), [])
  })
}
