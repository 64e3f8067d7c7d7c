import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AdviceCache } from '../../src/controller/advice/advice-cache.ts'
import type { AdviceResponse } from '../../src/ports/command-client.ts'

function createResponse (...targets: readonly string[]): AdviceResponse {
  return { type: 'advised', tickets: targets.map((target) => ({ target, ticket: `of-${target}` })), validityMs: 2_500 }
}

async function adviseThenGetCached (responses: ReadonlyArray<{ readonly at: number, readonly step: string, readonly targets: readonly string[], readonly response: AdviceResponse }>, readAt: number): Promise<ReturnType<AdviceCache['getCachedAdvice']>> {
  let now = 0
  let next = 0
  const cache = AdviceCache.create({ advise: async () => responses[next++]!.response }, () => now)
  for (const { at, step, targets } of responses) {
    now = at
    await cache.advise(step, targets, 1_000)
  }
  now = readAt
  return cache.getCachedAdvice()
}

const cases = [
  { guards: 'a response is kept with the remaining validity of its tickets', responses: [{ at: 0, step: 's', targets: ['a', 'b'], response: createResponse('a') }], readAt: 1_000, expected: [{ step: 's', asked: ['a', 'b'], tickets: [{ target: 'a', ticket: 'of-a' }], validForMs: 1_500 }] },
  { guards: 'the responses for one step are merged and expire with the first', responses: [{ at: 0, step: 's', targets: ['a'], response: createResponse('a') }, { at: 500, step: 's', targets: ['b'], response: createResponse() }], readAt: 1_000, expected: [{ step: 's', asked: ['a', 'b'], tickets: [{ target: 'a', ticket: 'of-a' }], validForMs: 1_500 }] },
  { guards: 'a failed request adds nothing', responses: [{ at: 0, step: 's', targets: ['a'], response: { type: 'failed', reason: 'timeout' } as const }], readAt: 0, expected: [] },
  { guards: 'an old response is removed', responses: [{ at: 0, step: 's', targets: ['a'], response: createResponse('a') }], readAt: 25_000, expected: [] }
]

for (const { guards, responses, readAt, expected } of cases) {
  test(`advice cache: ${guards}`, async () => {
    assert.deepEqual(await adviseThenGetCached(responses, readAt), expected)
  })
}
