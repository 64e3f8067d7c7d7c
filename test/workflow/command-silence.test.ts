import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CommandSilence } from '../../src/workflow/command-silence.ts'

const cases: ReadonlyArray<{ readonly guards: string, readonly sentAt: readonly number[], readonly answeredAt?: number, readonly now: number, readonly silent: boolean }> = [
  { guards: 'a target without commands', sentAt: [], now: 10_000, silent: false },
  { guards: 'a target that has just got its first command', sentAt: [1_000], now: 1_200, silent: false },
  { guards: 'a target that leaves its first command without an answer', sentAt: [1_000], now: 2_000, silent: true },
  { guards: 'a target that gets the command again and again', sentAt: [1_000, 1_600, 1_900], now: 2_000, silent: true },
  { guards: 'a target that has answered one', sentAt: [1_000], answeredAt: 1_900, now: 2_000, silent: false },
  { guards: 'a target that had its last command long ago', sentAt: [1_000], now: 30_000, silent: false }
]

for (const { guards, sentAt, answeredAt, now, silent } of cases) {
  test(`command silence: ${guards} ${silent ? 'counts' : 'does not count'} as silent`, () => {
    const silence = CommandSilence.create()
    for (const time of sentAt) silence.recordSent(time)
    if (answeredAt !== undefined) silence.recordAnswer()
    assert.equal(silence.isSilent(now), silent)
  })
}
