import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { build as createHistogram } from 'hdr-histogram-js'
import { request } from 'undici'
import { ProcessMember } from '../faults/processes/process-member.ts'
import { JsonServer } from '../platform/standin/json-server.ts'
import { KvServer } from '../platform/standin/kv-server.ts'
import { StandinOperator } from '../platform/standin/operator.ts'
import { WorkerServer } from '../platform/standin/worker-server.ts'
import { getCallerAddress, createMemberSettings } from '../platform/standin/member-settings.ts'
import type { MemberOptions } from '../platform/standin/member-settings.ts'
import type { Benchmark } from './main.ts'
import { costRate, processCost } from './process-cost.ts'

/** What one run of the load tool plays. */
export type PlatformLoad = {
  readonly members: number
  readonly targets: number
  readonly jobsPerSecond: number
  readonly tasksPerJob: number
  readonly taskMs: number
  readonly seconds: number
  /** Folder for processor profiles of the members; undefined: none are taken. */
  readonly profiles?: string
}

const LOADS: readonly PlatformLoad[] = [
  { members: 3, targets: 33, jobsPerSecond: 8, tasksPerJob: 10, taskMs: 640, seconds: 15 },
  { members: 3, targets: 245, jobsPerSecond: 20, tasksPerJob: 15, taskMs: 640, seconds: 15 }
]

const HOST = 'load.example'
const KEY = 'key-of-load'
const SETTLE_MS = 4_000
const DRAIN_MS = 3_000
const MS_PER_SECOND = 1_000
const ACCEPTED = 200

/**
 * Plays load on member processes against the stand-ins of the platform, and measures what they use.
 *
 * @example
 * await playPlatform({ members: 3, targets: 33, jobsPerSecond: 8, tasksPerJob: 10, taskMs: 640, seconds: 15 })
 */
export async function playPlatform (load: PlatformLoad): Promise<Readonly<Record<string, number>>> {
  const folder = mkdtempSync(join(tmpdir(), 'damaskfield-platform-'))
  const kv = await KvServer.listen()
  const advisor = await JsonServer.listen(async () => ({ status: 200, body: { good: [] } }))
  const workers = await Promise.all(Array.from({ length: load.targets }, (_, index) => WorkerServer.listen({ id: `w${index}`, needsTickets: false })))
  const operator = StandinOperator.create(kv)
  operator.configure({ version: 1, host: HOST, key: KEY, weight: 10_000, maxAttempts: 2, queues: [{ name: 'load', priority: 0 }] })
  for (const worker of workers) operator.publishWorker(worker)
  const places = Array.from({ length: load.members }, (_, index): MemberOptions => (
    { name: `member-${index}`, host: `127.0.0.${index + 2}`, failureDomain: 'east', storeAddress: kv.address, advisorAddress: advisor.address, cores: 1 }
  ))
  const members = places.map((place) => startMember(place, folder, load.profiles))
  try {
    await wait(SETTLE_MS)
    const before = members.map(({ pid }) => processCost(pid))
    const answers = await submitAll(load, places)
    await wait(DRAIN_MS)
    const rates = members.map(({ pid }, index) => costRate(before[index]!, processCost(pid)))
    const starts = workers.reduce((sum, worker) => sum + worker.starts.length, 0)
    const busiest = rates.reduce((most, rate) => rate.corePercent > most.corePercent ? rate : most)
    return {
      members: load.members,
      targets: load.targets,
      accepted: answers.totalCount,
      refused: load.jobsPerSecond * load.seconds - answers.totalCount,
      startsPerSecond: Math.round(starts / load.seconds),
      submitP50Ms: answers.getValueAtPercentile(50),
      submitP99Ms: answers.getValueAtPercentile(99),
      leaderCorePercent: round(busiest.corePercent),
      leaderMicrosecondsPerStart: Math.round(busiest.corePercent / 100 * (load.seconds + DRAIN_MS / MS_PER_SECOND) * 1e6 / Math.max(1, starts)),
      leaderReadKBPerSecond: round(busiest.readBytesPerSecond / 1_000),
      leaderWrittenKBPerSecond: round(busiest.writtenBytesPerSecond / 1_000),
      leaderResidentMiB: round(busiest.residentMiB)
    }
  } finally {
    for (const member of members) member.signal('SIGTERM')
    await Promise.all(members.map((member) => member.waitForExit()))
    for (const server of [kv, advisor, ...workers]) server.close()
    rmSync(folder, { recursive: true })
  }
}

function startMember (place: MemberOptions, folder: string, profiles: string | undefined): ProcessMember {
  const file = join(folder, `${place.name}.json`)
  writeFileSync(file, JSON.stringify(createMemberSettings(place)))
  const profiling = profiles === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profiles}`, `--cpu-prof-name=${place.name}.cpuprofile`]
  return ProcessMember.spawn({
    id: place.name,
    args: [...profiling, '--max-old-space-size=200', '--max-semi-space-size=8', 'target/damaskfield-platform.mjs'],
    variables: { DAMASKFIELD_SETTINGS: file },
    callerAddress: getCallerAddress(place)
  })
}

/** Submits jobs at a steady rate, to one member after another; gives the latencies of the answers. */
async function submitAll (load: PlatformLoad, places: readonly MemberOptions[]): Promise<ReturnType<typeof createHistogram>> {
  const answers = createHistogram()
  const total = load.jobsPerSecond * load.seconds
  const startedAt = performance.now()
  const pending: Array<Promise<void>> = []
  for (let number = 0; number < total; number += 1) {
    await wait(Math.max(0, startedAt + number * MS_PER_SECOND / load.jobsPerSecond - performance.now()))
    pending.push(submit(places[number % places.length]!, number, load, answers))
  }
  await Promise.all(pending)
  return answers
}

async function submit (place: MemberOptions, number: number, load: PlatformLoad, answers: ReturnType<typeof createHistogram>): Promise<void> {
  const id = number.toString(16).padStart(16, '0')
  const steps = [{ count: load.tasksPerJob, cpu: 1_000, memMb: 256, estimatedMs: load.taskMs }]
  const sentAt = performance.now()
  const { statusCode, body } = await request(`${getCallerAddress(place)}/load/${id}`, {
    method: 'POST',
    headers: { host: HOST, key: KEY, 'deadline-ms': '3000', 'content-type': 'application/json' },
    body: JSON.stringify({ spec: JSON.stringify({ ms: load.taskMs }), steps })
  })
  await body.dump()
  if (statusCode === ACCEPTED) answers.recordValue(Math.round(performance.now() - sentAt))
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}

/** Cost of the member that leads, at the sizes of the two milestones. */
export const benchPlatform: Benchmark = async (print) => {
  const built = spawnSync(process.execPath, ['scripts/build-platform.mjs'], { encoding: 'utf8' })
  if (built.status !== 0) throw new Error(`the bundle could not be built: ${built.stderr}`)
  const results: Array<Readonly<Record<string, number>>> = []
  for (const load of LOADS) {
    const figures = await playPlatform({ ...load, profiles: process.env.PLATFORM_PROFILES })
    print(JSON.stringify(figures))
    results.push(figures)
  }
  return { results }
}
