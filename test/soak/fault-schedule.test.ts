import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createFaultSchedule } from '../../soak/fault-schedule.ts'
import { getKind } from '../../soak/soak-fault.ts'

const OPTIONS = { seed: 7, seconds: 400, members: 7, workers: 48 } as const

/** Beginnings of the kinds from which a run may choose. */
const KINDS: readonly string[] = [
  'kill', 'kill-all', 'terminate', 'terminate-all', 'pause', 'power-cut', 'replace', 'replace-planned', 'stutter', 'store/', 'store-answers-lost', 'store-compact',
  'store-link', 'worker-link', 'advisor-link', 'worker-crash', 'workers-cut', 'workers-flap', 'workers-drain', 'slow-workers', 'late-orders', 'domain-out', 'configuration',
  'workers-gone', 'workers-reborn-gone', 'departures', 'leader/kill', 'leader/pause', 'leader/power', 'leader/replace', 'leader/replace-silent', 'leader/replace-closing',
  'recut/kill', 'recut/terminate', 'recut/pause', 'recut/none',
  'takeover/claims-unanswered/cut', 'takeover/writes-late/hold', 'takeover/slow/power', 'takeover/lossy/replace-planned'
]

test('fault schedule: the same options give the same faults at the same times', () => {
  assert.deepEqual(createFaultSchedule(OPTIONS), createFaultSchedule(OPTIONS))
})

for (const kind of KINDS) {
  // A kind that is never drawn would leave a run without faults, which looks like a pass.
  test(`fault schedule: ${kind} can be chosen`, () => {
    const kinds = createFaultSchedule({ ...OPTIONS, seconds: 20, faultKinds: [kind] }).map(({ fault }) => getKind(fault))
    assert.ok(kinds.length > 0 && kinds.every((found) => found.startsWith(kind)), JSON.stringify(kinds))
  })
}

test('fault schedule: a power cut takes one member, a third or all of them', () => {
  const cuts = createFaultSchedule({ ...OPTIONS, faultKinds: ['power-cut'] }).flatMap(({ fault }) => fault.type === 'power-cut' ? [fault.members.length] : [])
  assert.deepEqual([...new Set(cuts)].sort(), [1, 2, 7])
})

test('fault schedule: without a filter, workers and leaders are lost and restarted too', () => {
  const kinds = createFaultSchedule(OPTIONS).map(({ fault }) => fault.type)
  for (const kind of ['workers-gone', 'workers-reborn-gone', 'leader', 'departures', 'recut'] as const) assert.ok(kinds.includes(kind), kind)
})

// A fault soon after them would excuse each task that nobody starts again.
test('fault schedule: departures have leaders of each kind, and calm time after the last one', () => {
  const schedule = createFaultSchedule({ ...OPTIONS, seconds: 2_000, faultIntervalMs: 4_500 })
  const departures = schedule.flatMap(({ atMs, fault }, index) => fault.type === 'departures' ? [{ leaders: fault.leaders, calmMs: (schedule[index + 1]?.atMs ?? Infinity) - atMs - fault.leaders.reduce((sum, { afterMs }) => sum + afterMs, 0) }] : [])
  const failures = departures.flatMap(({ leaders }) => leaders.map(({ leader }) => leader))
  assert.deepEqual([...new Set(failures)].sort(), ['kill', 'pause', 'power', 'replace', 'replace-closing', 'replace-silent', 'terminate'])
  assert.ok(departures.some(({ leaders }) => leaders.length >= 4), 'no row')
  assert.ok(departures.every(({ calmMs }) => calmMs >= 9_000), JSON.stringify(departures))
})

// A cut that outlasted the traffic would make each short run longer, and a seed that drew other faults would no longer show its cause.
test('fault schedule: traffic that is too short for a recut has none, and the same faults as without them', () => {
  const others = [...new Set(createFaultSchedule({ ...OPTIONS, seconds: 4_000 }).map(({ fault }) => getKind(fault)))].filter((kind) => !kind.startsWith('recut'))
  for (let seed = 1; seed <= 50; seed += 1) {
    const short = { ...OPTIONS, seed, seconds: 8 }
    assert.deepEqual(createFaultSchedule(short), createFaultSchedule({ ...short, faultKinds: others }))
  }
})

test('fault schedule: recuts end within the traffic, hit a failure domain or some workers, and fail one leader, two or none', () => {
  const recuts = createFaultSchedule({ ...OPTIONS, seconds: 2_000, faultKinds: ['recut'] }).flatMap(({ atMs, fault }) => fault.type === 'recut' ? [{ atMs, ...fault }] : [])
  assert.ok(recuts.some(({ workers }) => workers.length === 24 && workers.every((worker) => worker % 2 === workers[0]! % 2)), 'no failure domain')
  assert.ok(recuts.some(({ workers }) => workers.length < 24), 'no share')
  assert.deepEqual([...new Set(recuts.map(({ leaders }) => leaders.map(({ leader }) => leader).join()))].sort(), ['kill', 'kill,kill', 'none', 'pause', 'terminate'])
  assert.ok(recuts.every(({ atMs, restart, leaders, cutAfterMs, forMs }) => {
    const cutAfterLeaderMs = cutAfterMs - leaders[0]!.afterMs
    return atMs + restart.downMs + cutAfterMs + forMs <= 2_000_000 && restart.downMs >= 300 && restart.downMs <= 900 && cutAfterMs >= 0 && cutAfterLeaderMs >= -200 && cutAfterLeaderMs <= 400 && forMs >= 8_000 && forMs <= 11_000
  }), JSON.stringify(recuts))
})
