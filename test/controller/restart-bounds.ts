import { assertNever } from '../../src/util/assert-never.ts'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'

const MEMBERS = 4
const TARGETS = 4
/** One task on each target. */
const TASKS = 4
const ENDED_TARGETS = ['t0', 't1']
/** Until then a member leads and all tasks run, in milliseconds. */
const SETTLE_MS = 4_000
/** From the end of the targets to the end of the leader, in milliseconds. */
const LEADER_DELAY_MS = 200
/** From one end of a leader to the next unless a scenario says otherwise, in milliseconds. */
const LEADER_INTERVAL_MS = 3_000
/** From the hand-over of a leader that stops as planned to the end of its process, in milliseconds. */
const HANDOVER_MS = 100
const RETRY_MS = 50
const MAX_GAP_MS = 90_000
/** A task that lasts is owed a run so long after its last one, and so long after the last disturbance, in milliseconds. */
const MAX_TIME_MS = { afterEnd: 9_000, afterDisturbance: 7_000 } as const

/** How targets end: at once, or some time after they have restarted under their ids. */
export type TargetEnd = { readonly away: 'silent' | 'refusing', readonly restartedBeforeMs?: number }

/**
 * How leaders end. `same-address`: the process starts again at once. `other-address`, `other-address-silent`: so does another
 * one at another address, while the first one refuses connections or is silent. `refusing`, `silent`: none starts. `closing`:
 * none starts, and what stands before the host accepts connections and closes them. `paused`: the process stands still.
 * `planned`: the leader hands over, and then its process starts again.
 */
export type LeaderEnd = {
  readonly times: number
  /** From one end to the next, in milliseconds. */
  readonly intervalMs?: number
} & (
  | { readonly then: 'same-address' | 'other-address' | 'other-address-silent' | 'refusing' | 'silent' | 'closing' | 'planned' }
  | { readonly then: 'paused', readonly pauseMs: number }
)

export type RestartScenario = { readonly target: TargetEnd, readonly leader: LeaderEnd | undefined, readonly longestLeaseMs: number }

/** The ends of leaders beside which targets end. */
export const LEADER_ENDS: ReadonlyArray<{ readonly name: string, readonly end: LeaderEnd | undefined, /** Whether its rows are played with both longest leases where they matter. */ readonly isBasic?: boolean }> = [
  { name: 'leader stays', end: undefined, isBasic: true },
  { name: 'leader killed, same address', end: { times: 1, then: 'same-address' }, isBasic: true },
  { name: 'leader killed, host silent', end: { times: 1, then: 'silent' }, isBasic: true },
  { name: 'leader killed, host refusing', end: { times: 1, then: 'refusing' } },
  { name: 'leader killed, host closing connections', end: { times: 1, then: 'closing' } },
  { name: 'leader paused for 4 s', end: { times: 1, then: 'paused', pauseMs: 4_000 } },
  { name: 'leader paused for 20 s', end: { times: 1, then: 'paused', pauseMs: 20_000 } },
  { name: 'leader killed, other address', end: { times: 1, then: 'other-address' } },
  ...[2, 4, 8].flatMap((times) => [
    { name: `leader killed ${times} times, same address`, end: { times, then: 'same-address' } as const },
    { name: `leader killed ${times} times, other address`, end: { times, then: 'other-address' } as const }
  ]),
  { name: 'leader killed 4 times, other address, old ones silent', end: { times: 4, then: 'other-address-silent' } },
  { name: 'leader killed, and the next one at its election, other addresses, old ones silent', end: { times: 2, then: 'other-address-silent', intervalMs: 0 } }
]

/** The task that had no run for longest, measured against what it was owed. */
export type LongestGap = { readonly task: string, readonly gapMs: number, readonly allowedMs: number, readonly sinceDisturbanceMs: number }

export type RestartOutcome = { readonly violations: readonly string[], readonly longest: LongestGap, readonly unstarted: number }

/**
 * Plays the end of targets and leaders beside tasks that last, until all of them run again.
 *
 * @example
 * const { longest } = await playRestarts({ target: { away: 'silent' }, leader: undefined, longestLeaseMs: 10_000 })
 */
export async function playRestarts (scenario: RestartScenario): Promise<RestartOutcome> {
  const cell = VirtualCell.create(1, { members: MEMBERS, targets: TARGETS, longestLeaseMs: scenario.longestLeaseMs })
  try {
    await cell.time.advance(1_000)
    cell.submitLasting(cell.hosts[0]!, 'lasting', TASKS)
    await cell.time.advance(SETTLE_MS)
    const disturbances = await endTargets(cell, scenario.target)
    if (scenario.leader !== undefined) disturbances.push(...await endLeaders(cell, scenario.leader))
    await cell.time.advance(MAX_GAP_MS, () => countRunning(cell) === TASKS)
    return { violations: cell.violations, longest: findLongestGap(cell, disturbances), unstarted: TASKS - countRunning(cell) }
  } finally {
    cell.close()
  }
}

/** Returns when the cell was disturbed. */
async function endTargets (cell: VirtualCell, { away, restartedBeforeMs }: TargetEnd): Promise<number[]> {
  const targets = ENDED_TARGETS.map((id) => cell.targets.targets.get(id)!)
  const disturbances: number[] = []
  if (restartedBeforeMs !== undefined) {
    for (const target of targets) cell.targets.restart(target)
    disturbances.push(cell.time.nowMs)
    await cell.time.advance(restartedBeforeMs)
  }
  for (const target of targets) cell.targets.takeAway(target, away)
  return [...disturbances, cell.time.nowMs]
}

/** Returns when the cell was disturbed. */
async function endLeaders (cell: VirtualCell, end: LeaderEnd): Promise<readonly number[]> {
  const { times, intervalMs = LEADER_INTERVAL_MS } = end
  const disturbances: number[] = []
  await cell.time.advance(LEADER_DELAY_MS)
  for (let ended = 0; ended < times; ended += 1) {
    while (cell.leaders[0] === undefined) await cell.time.advance(RETRY_MS)
    endLeader(cell, cell.leaders[0], end)
    disturbances.push(cell.time.nowMs)
    if (ended < times - 1) await cell.time.advance(intervalMs)
  }
  return disturbances
}

function endLeader (cell: VirtualCell, host: VirtualHost, end: LeaderEnd): void {
  const otherAddress = `${host.name}-${Math.round(cell.time.nowMs)}:1`
  switch (end.then) {
    case 'same-address': return cell.restart(host)
    case 'other-address': return cell.restart(host, otherAddress)
    case 'other-address-silent':
      cell.takeAway(host)
      return cell.restart(host, otherAddress)
    case 'refusing': return cell.kill(host)
    case 'silent': return cell.takeAway(host)
    case 'closing':
      host.linksToMembers = 'closing'
      return cell.kill(host)
    case 'paused':
      cell.time.pause(host.process)
      cell.time.schedule(end.pauseMs, () => cell.time.resume(host.process))
      return
    case 'planned': return handOver(cell, host)
    default: return assertNever(end)
  }
}

function handOver (cell: VirtualCell, host: VirtualHost): void {
  cell.time.schedule(0, () => { host.member.leadership.resign().catch((error: unknown) => cell.violations.push(String(error))) }, host.process)
  cell.time.schedule(HANDOVER_MS, () => cell.restart(host))
}

function countRunning ({ targets, time }: VirtualCell): number {
  const all = [...targets.targets.values()]
  for (const target of all) target.completeDueRuns(time.nowMs)
  return new Set(all.flatMap(({ runs }) => [...runs.keys()])).size
}

/** Finds the gap that exceeds what is allowed by most, or comes closest to it. */
function findLongestGap ({ targets, time }: VirtualCell, disturbances: readonly number[]): LongestGap {
  const gaps = targets.lastRuns.gaps.map(({ task, lastRun: { endedAt }, startedAt }) => {
    const disturbedAt = Math.max(...disturbances.filter((at) => at < startedAt))
    const allowedMs = Math.max(MAX_TIME_MS.afterEnd, disturbedAt + MAX_TIME_MS.afterDisturbance - endedAt)
    return { task, gapMs: startedAt - endedAt, allowedMs, sinceDisturbanceMs: startedAt - disturbedAt }
  })
  const none = { task: 'none', gapMs: 0, allowedMs: MAX_TIME_MS.afterEnd, sinceDisturbanceMs: time.nowMs }
  return gaps.reduce((longest, gap) => gap.gapMs - gap.allowedMs > longest.gapMs - longest.allowedMs ? gap : longest, gaps[0] ?? none)
}
