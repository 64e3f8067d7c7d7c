import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RecentSubmissions } from '../../src/controller/admission/recent-submissions.ts'
import type { AttemptOutcome, EarlierAttempts } from '../../src/controller/admission/recent-submissions.ts'

type Step = 'begin' | AttemptOutcome

const cases: ReadonlyArray<{ readonly guards: string, readonly steps: readonly Step[], readonly afterMs?: number, readonly expected: EarlierAttempts }> = [
  { guards: 'a job that was never submitted', steps: [], expected: 'none' },
  { guards: 'an attempt that goes on', steps: ['begin'], expected: 'may-be-stored' },
  { guards: 'an attempt that goes on for long', steps: ['begin'], afterMs: 60_000, expected: 'may-be-stored' },
  { guards: 'an attempt that stored nothing', steps: ['begin', 'not-stored'], expected: 'none' },
  { guards: 'an attempt that stored nothing beside one that goes on', steps: ['begin', 'begin', 'not-stored'], expected: 'may-be-stored' },
  { guards: 'an unknown outcome before an attempt that stored nothing', steps: ['begin', 'unknown', 'begin', 'not-stored'], expected: 'may-be-stored' },
  { guards: 'an unknown outcome after the job was stored', steps: ['begin', 'stored', 'begin', 'unknown'], expected: 'stored' },
  { guards: 'an unknown outcome before the job was stored', steps: ['begin', 'unknown', 'begin', 'stored'], expected: 'stored' },
  { guards: 'a stored job of long ago', steps: ['begin', 'stored'], afterMs: 60_000, expected: 'none' }
]

for (const { guards, steps, afterMs = 0, expected } of cases) {
  test(`recent submissions: ${guards} counts as ${expected}`, () => {
    let now = 0
    const submissions = RecentSubmissions.create(() => now)
    for (const step of steps) {
      if (step === 'begin') submissions.begin('a')
      else submissions.end('a', step)
    }
    now += afterMs
    assert.equal(submissions.find('a'), expected)
  })
}

// The memory of a member must not grow with the jobs of a burst.
test('recent submissions: the oldest of very many submissions are forgotten', () => {
  const submissions = RecentSubmissions.create(() => 0)
  for (let index = 0; index < 50_000; index += 1) {
    submissions.begin(`job-${index}`)
    submissions.end(`job-${index}`, 'stored')
  }
  const known = Array.from({ length: 50_000 }, (_, index) => submissions.find(`job-${index}`)).filter((state) => state === 'stored').length
  assert.ok(known <= 20_000, `${known} submissions`)
  assert.equal(submissions.find('job-49999'), 'stored')
})

// An attempt that never ended would count as going on for good.
test('recent submissions: an attempt that ends with an error leaves its outcome unknown', async () => {
  let now = 0
  const submissions = RecentSubmissions.create(() => now)
  await assert.rejects(submissions.track('a', () => Promise.reject(new Error('broken')), () => 'stored'), /broken/)
  assert.equal(submissions.find('a'), 'may-be-stored')
  now += 60_000
  assert.equal(submissions.find('a'), 'none')
})
