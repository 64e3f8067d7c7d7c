import type { Resources } from '../../src/model/resources.ts'
import type { Target } from '../../src/model/target.ts'
import type { Work, WorkKind } from '../../src/model/work.ts'

export const CAPACITY: Resources = { cpuMillis: 16_000, memoryMiB: 65_536, accelerators: 0, slots: 8, connections: 60 }

/** Work of one slot and two cores. */
export function createWork (id: string, payload: unknown, kind: WorkKind = { kind: 'batch', count: 1 }): Work {
  return {
    id,
    team: 'blue',
    queue: 'night',
    family: 'stitch',
    resources: { cpuMillis: 2_000, memoryMiB: 1_024, accelerators: 0, slots: 1, connections: 4 },
    expectedMs: 20,
    urgent: false,
    idempotent: true,
    submittedAt: 0,
    payload,
    ...kind
  }
}

export function createTarget (id: string, address: string): Target {
  return { id, host: `host-${id}`, address, failureDomain: 'bole', rack: 'rack-1', capacity: CAPACITY, state: 'live' }
}
