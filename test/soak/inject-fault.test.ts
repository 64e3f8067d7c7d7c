import assert from 'node:assert/strict'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { mock, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { injectFault } from '../../soak/inject-fault.ts'
import { SoakCell } from '../../soak/soak-cell.ts'
import type { SoakFault, WorkersGone } from '../../soak/soak-fault.ts'
import type { SoakWorker, UnseenRestart } from '../../soak/soak-worker.ts'

const AWAY_MS = 600
const CRASHED_MS = 300

type Case = {
  readonly fault: Extract<SoakFault, { gone: WorkersGone }>
  /** Whether the faults are repaired while the worker is away. */
  readonly isRepaired: boolean
}

const CASES: readonly Case[] = [
  { fault: { type: 'workers-gone', gone: { workers: [0], state: 'dark', forMs: AWAY_MS } }, isRepaired: false },
  { fault: { type: 'workers-gone', gone: { workers: [0], state: 'refused', forMs: AWAY_MS } }, isRepaired: false },
  { fault: { type: 'workers-gone', gone: { workers: [0], state: 'dark', forMs: 20 * AWAY_MS } }, isRepaired: true },
  { fault: { type: 'workers-reborn-gone', gone: { workers: [0], state: 'dark', forMs: AWAY_MS }, afterMs: CRASHED_MS }, isRepaired: false }
]

for (const { fault, isRepaired } of CASES) {
  // A worker that counted as a fault while it is away would excuse every task that nobody starts again.
  test(`soak fault: ${fault.type} (${fault.gone.state}) counts when workers go away and when they come back${isRepaired ? ' early' : ''}, but not between`, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'damaskfield-fault-'))
    const cell = await SoakCell.start({ members: 0, workers: 2, bundle: '', folder, subnet: 10 })
    const recordFault = mock.method(cell.history, 'recordFault')
    const getChanges = (): unknown[] => recordFault.mock.calls.map(({ arguments: [, change] }) => change)
    const getAvailable = (): boolean[] => cell.workers.map(({ isAvailable }) => isAvailable)
    try {
      await injectFault(cell, fault)
      assert.deepEqual([getChanges(), getAvailable()], [['begins', 'ends'], [false, true]])
      if (isRepaired) cell.repairAll()
      await wait(2 * AWAY_MS)
      assert.deepEqual([getChanges(), getAvailable()], [['begins', 'ends', 'begins', 'ends'], [true, true]])
    } finally {
      await cell.close()
    }
  })
}

const LEADER_AFTER_MS = 300

for (const { leaders, cutAfterMs, order } of [
  { leaders: ['kill'], cutAfterMs: LEADER_AFTER_MS - 200, order: ['back', 'cut', 'leader fails'] },
  { leaders: ['terminate'], cutAfterMs: LEADER_AFTER_MS + 200, order: ['back', 'leader fails', 'cut'] },
  { leaders: ['kill', 'kill'], cutAfterMs: LEADER_AFTER_MS - 200, order: ['back', 'cut', 'leader fails', 'leader fails'] },
  { leaders: [], cutAfterMs: LEADER_AFTER_MS, order: ['back', 'cut'] }
] as const) {
  // Without this order no lease of the restarted worker outlives the time that the next leader waits for it.
  test(`soak fault: in a recut workers come back, and ${order.slice(1).join(', then ')}`, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'damaskfield-fault-'))
    const cell = await SoakCell.start({ members: 0, workers: 1, bundle: '', folder, subnet: 10 })
    const events: string[] = []
    mock.method(cell, 'findLeader', () => 0)
    mock.method(cell, 'restartMember', async () => { events.push('leader fails') })
    mock.method(cell.workers[0]!, 'cutOff', async () => { events.push('cut') })
    const { restartUnseen } = cell.workers[0]!
    mock.method(cell.workers[0]!, 'restartUnseen', async function (this: SoakWorker, restart: UnseenRestart) {
      await restartUnseen.call(this, restart)
      events.push('back')
    })
    try {
      await injectFault(cell, {
        type: 'recut',
        workers: [0],
        restart: { downMs: CRASHED_MS, heartbeatAfterMs: 0 },
        leaders: leaders.map((leader) => ({ afterMs: LEADER_AFTER_MS, leader, forMs: 0 })),
        cutAfterMs,
        state: 'silent',
        forMs: AWAY_MS
      })
      assert.deepEqual(events, order)
    } finally {
      await cell.close()
    }
  })
}
