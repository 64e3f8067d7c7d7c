import type { ProcessCell } from './process-cell.ts'

/** A fault that is injected into real processes under load. */
export type Scenario = {
  readonly name: string
  readonly guards: string
  readonly members: number
  /** Whether every request must be answered: no request may be lost or refused, as during planned changes. */
  readonly requiresAllAnswers: boolean
  readonly run: (cell: ProcessCell) => Promise<void>
}

const MS_PER_SECOND = 1_000
/** Longer than the sum of the store lease of 4 s and the renewal promise of 3 s between members. */
const PAUSE_MS = 8_000
const OUTAGE_MS = 12_000
const REPLACEMENT_WAIT_MS = 2_000

/**
 * Faults of single processes and of the platform.
 *
 * @example
 * for (const scenario of SCENARIOS) await scenario.run(cell)
 */
export const SCENARIOS: readonly Scenario[] = [
  {
    name: 'kill',
    guards: 'a caller of a killed member gets no answer, or the work of its groups is lost or runs twice',
    members: 3,
    requiresAllAnswers: false,
    run: async (cell) => {
      cell.runningMembers[0]!.signal('SIGKILL')
      await delay(10 * MS_PER_SECOND)
    }
  },
  {
    name: 'pause',
    guards: 'a member that was paused until its leases expired acts after another member has taken over',
    members: 3,
    requiresAllAnswers: false,
    run: async (cell) => {
      const member = cell.runningMembers[1]!
      member.signal('SIGSTOP')
      await delay(PAUSE_MS)
      member.signal('SIGCONT')
      await delay(4 * MS_PER_SECOND)
    }
  },
  {
    name: 'store-outage',
    guards: 'requests are not answered while the store is down',
    members: 3,
    requiresAllAnswers: true,
    run: async (cell) => {
      cell.platform.storeServer.faults.set({ outage: 'refuse' })
      await delay(OUTAGE_MS)
      cell.platform.storeServer.faults.set({ outage: 'none' })
      await delay(2 * MS_PER_SECOND)
    }
  },
  {
    name: 'rolling-replacement',
    guards: 'a planned replacement loses, repeats or interrupts a request',
    members: 7,
    requiresAllAnswers: true,
    run: async (cell) => {
      for (const member of [...cell.runningMembers]) {
        await cell.startMember()
        await delay(REPLACEMENT_WAIT_MS)
        member.signal('SIGTERM')
        await member.waitForExit()
      }
      await delay(REPLACEMENT_WAIT_MS)
    }
  }
]

async function delay (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}
