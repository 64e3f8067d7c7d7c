import assert from 'node:assert/strict'
import { test } from 'node:test'
import { TickWatch } from '../../src/controller/tick-watch.ts'

const cases: ReadonlyArray<{ readonly guards: string, readonly gapsMs: readonly number[], readonly late: readonly boolean[] }> = [
  { guards: 'regular ticks are not late', gapsMs: [50, 50, 60], late: [false, false, false] },
  { guards: 'the first tick after the process was busy is late, the next is not', gapsMs: [50, 180, 50], late: [false, true, false] },
  { guards: 'ticks of a process that is busy all the time are not all late, so that lost commands are sent again', gapsMs: [150, 150, 150, 150, 150], late: [true, true, true, true, false] },
  { guards: 'a tick in time ends a row of late ones', gapsMs: [150, 150, 150, 50, 150, 150], late: [true, true, true, false, true, true] }
]

for (const { guards, gapsMs, late } of cases) {
  test(`tick watch: ${guards}`, () => {
    const watch = TickWatch.create(0)
    let now = 0
    assert.deepEqual(gapsMs.map((gapMs) => watch.isLate(now += gapMs)), late)
  })
}
