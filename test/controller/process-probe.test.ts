import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ProbeResult } from '../../src/adapters/probe-address.ts'
import { ProcessProbe } from '../../src/controller/leadership/process-probe.ts'
import type { ProcessState } from '../../src/controller/leadership/process-probe.ts'
import { VirtualTime } from './virtual-time.ts'

const ADDRESS = '10.1.0.17:7420'
const CALLERS = '10.1.0.17:8183'
const READINESS = '10.1.0.17:8184'
const ALL_REFUSED = { [ADDRESS]: 'refused', [CALLERS]: 'refused', [READINESS]: 'refused' } as const

type Check = {
  readonly shows: string
  readonly furtherPorts: readonly number[]
  /** What each address gives, round by round; the last round goes on. */
  readonly rounds: ReadonlyArray<Readonly<Record<string, ProbeResult>>>
  readonly state: ProcessState
}

const checks: readonly Check[] = [
  { shows: 'a process without a listener has ended', furtherPorts: [8183, 8184], rounds: [ALL_REFUSED], state: 'ended' },
  { shows: 'a process that refuses at the port for members only may run', furtherPorts: [8183, 8184], rounds: [{ ...ALL_REFUSED, [READINESS]: 'listening' }], state: 'unknown' },
  { shows: 'a host that is silent at one port may run the process', furtherPorts: [8183, 8184], rounds: [{ ...ALL_REFUSED, [CALLERS]: 'silent' }], state: 'unknown' },
  { shows: 'a host that is silent may run the process', furtherPorts: [8183, 8184], rounds: [{ [ADDRESS]: 'silent', [CALLERS]: 'silent', [READINESS]: 'silent' }], state: 'unknown' },
  { shows: 'a process that listens a moment later may run', furtherPorts: [8183, 8184], rounds: [ALL_REFUSED, { ...ALL_REFUSED, [CALLERS]: 'listening' }], state: 'unknown' },
  { shows: 'the port for members alone shows nothing', furtherPorts: [], rounds: [ALL_REFUSED], state: 'unknown' }
]

// TWICE: a leader that refuses connections at one port was taken for ended, and went on sending commands.
for (const { shows, furtherPorts, rounds, state } of checks) {
  test(`process probe: guards against the failure that a process that runs is taken for ended: ${shows}`, async () => {
    const time = VirtualTime.install()
    try {
      const startedAt = time.nowMs
      let result: ProcessState | undefined
      const processProbe = ProcessProbe.create({
        furtherPorts,
        probe: async (address) => {
          await time.wait(1)
          return rounds[Math.min(rounds.length - 1, Math.floor((time.nowMs - startedAt) / 50))]![address] ?? 'silent'
        }
      })
      processProbe.check(ADDRESS).then((answer) => { result = answer }, assert.fail)
      await time.advance(1_000, () => result !== undefined)
      assert.equal(result, state)
    } finally {
      time.uninstall()
    }
  })
}
