import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LargeJobCredit } from '../../src/controller/admission/large-job-credit.ts'

const MB = 1_000_000

type Step = { readonly at: number, readonly grant?: number | undefined } | { readonly at: number, readonly take: number, readonly isAccepted: boolean }

// A leader says once a second whether it is full; members stored whatever came until then, and without limit while nobody led.
const CASES: ReadonlyArray<{ readonly guards: string, readonly steps: readonly Step[] }> = [
  { guards: 'members accept between two words of the leader more than it has room for', steps: [{ at: 0, grant: 2 * MB }, { at: 1, take: MB, isAccepted: true }, { at: 2, take: MB, isAccepted: true }, { at: 3, take: MB, isAccepted: false }] },
  { guards: 'a member accepts without limit while nobody leads', steps: [{ at: 0, take: MB, isAccepted: true }, { at: 1, take: MB, isAccepted: true }, { at: 2, take: MB, isAccepted: false }, { at: 60_000, take: MB, isAccepted: false }] },
  { guards: 'a member accepts by the word of a leader that has ended', steps: [{ at: 0, grant: 40 * MB }, { at: 2_001, take: MB, isAccepted: true }, { at: 2_002, take: MB, isAccepted: true }, { at: 2_003, take: MB, isAccepted: false }] },
  { guards: 'a job that is larger than any credit is never accepted', steps: [{ at: 0, grant: MB / 2 }, { at: 1, take: 3 * MB, isAccepted: true }, { at: 2, take: MB, isAccepted: false }, { at: 1_000, grant: MB / 2 }, { at: 1_001, take: 3 * MB, isAccepted: true }] },
  { guards: 'a full leader gets a large job', steps: [{ at: 0, grant: 0 }, { at: 1, take: MB, isAccepted: false }] },
  { guards: 'a leader of the release before gets no large job', steps: [{ at: 0, grant: undefined }, { at: 1, take: MB, isAccepted: true }] }
]

for (const { guards, steps } of CASES) {
  test(`large job credit: guards against the failure that ${guards}`, () => {
    const credit = LargeJobCredit.create()
    for (const step of steps) {
      if ('take' in step) assert.equal(credit.take(step.take, step.at), step.isAccepted, `at ${step.at}`)
      else credit.grant(step.grant, step.at)
    }
  })
}
