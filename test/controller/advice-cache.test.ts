import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AdviceCache } from '../../src/controller/advice-cache.ts'
import type { AdviceResponse } from '../../src/ports/command-client.ts'

function advised (...targets: readonly string[]): AdviceResponse {
  return { type: 'advised', tickets: targets.map((target) => ({ target, ticket: `of-${target}` })), validityMs: 2_500 }
}

async function after (answers: ReadonlyArray<{ readonly at: number, readonly step: string, readonly asked: readonly string[], readonly answer: AdviceResponse }>, readAt: number): Promise<ReturnType<AdviceCache['known']>> {
  let now = 0
  let next = 0
  const advice = AdviceCache.create({ advise: async () => answers[next++]!.answer }, () => now)
  for (const { at, step, asked } of answers) {
    now = at
    await advice.advise(step, asked, 1_000)
  }
  now = readAt
  return advice.known()
}

const cases = [
  { guards: 'an answer is kept with the time that its tickets have left', answers: [{ at: 0, step: 's', asked: ['a', 'b'], answer: advised('a') }], readAt: 1_000, expected: [{ step: 's', asked: ['a', 'b'], tickets: [{ target: 'a', ticket: 'of-a' }], validForMs: 1_500 }] },
  { guards: 'the answers of one step are put together, as old as the first', answers: [{ at: 0, step: 's', asked: ['a'], answer: advised('a') }, { at: 500, step: 's', asked: ['b'], answer: advised() }], readAt: 1_000, expected: [{ step: 's', asked: ['a', 'b'], tickets: [{ target: 'a', ticket: 'of-a' }], validForMs: 1_500 }] },
  { guards: 'a failed question tells nothing', answers: [{ at: 0, step: 's', asked: ['a'], answer: { type: 'failed', reason: 'timeout' } as const }], readAt: 0, expected: [] },
  { guards: 'an old answer is dropped', answers: [{ at: 0, step: 's', asked: ['a'], answer: advised('a') }], readAt: 25_000, expected: [] }
]

for (const { guards, answers, readAt, expected } of cases) {
  test(`advice cache: ${guards}`, async () => {
    assert.deepEqual(await after(answers, readAt), expected)
  })
}
