import type { FailureDomainName, TargetId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import type { Target } from '../model/target.ts'
import { clockNow } from './clock.ts'
import { serveHostList } from './host-list-server.ts'
import { InMemoryHostList } from './host-list.ts'
import type { StandinServer } from './http-server.ts'
import { serveStore } from './store-server.ts'
import { InMemoryStore } from './store.ts'
import { serveTarget } from './target-server.ts'
import { InMemoryTarget } from './target.ts'
import type { Checkpoints, Execution } from './target.ts'

/** Options of `startStandinCell`. */
export type StandinCellOptions = {
  /** Number of targets. Default 30. */
  readonly targets?: number
  /** Targets are assigned to these domains round-robin. Default: the three domains of `mn-central`. */
  readonly failureDomains?: readonly FailureDomainName[]
  /** Capacity of each target. Default 16 cores, 64 GiB, 8 slots, 60 connections. */
  readonly capacity?: Resources
  /** Maximum number of targets in a rack. Default 8. */
  readonly targetsPerRack?: number
  /** Time since the start of the targets that they report at first, in milliseconds. Default 0. */
  readonly targetUpMs?: number
  /** Time until a change of the host list is visible, in milliseconds. Default 1,000. */
  readonly hostListLagMs?: number
  /** Age of the usage that targets report, in milliseconds. Default 2,000. */
  readonly usageLagMs?: number
}

/** A target with its server and its in-memory state. */
export type ServedTarget = { readonly target: Target, readonly standin: InMemoryTarget, readonly server: StandinServer }

/** The stand-ins of one cell; all addresses are on loopback. */
export type StandinCell = {
  readonly storeAddress: string
  readonly hostListAddress: string
  readonly store: InMemoryStore
  readonly storeServer: StandinServer
  readonly hostList: InMemoryHostList
  readonly hostListServer: StandinServer
  readonly targets: ReadonlyMap<TargetId, ServedTarget>
  /** The task runs of all targets. */
  readonly executions: () => readonly (Execution & { readonly target: TargetId })[]
  readonly close: () => Promise<void>
}

const DEFAULT_TARGET_COUNT = 30
const DEFAULT_FAILURE_DOMAINS: readonly FailureDomainName[] = ['ulaanbaatar', 'darkhan', 'erdenet']
const DEFAULT_CAPACITY: Resources = { cpuMillis: 16_000, memoryMiB: 65_536, accelerators: 0, slots: 8, connections: 60 }
const DEFAULT_TARGETS_PER_RACK = 8
const DEFAULT_HOST_LIST_LAG_MS = 1_000

/**
 * Starts a store, a host list and targets in this process, each on its own port.
 *
 * @example
 * const cell = await startStandinCell({ targets: 6 })
 * cell.storeAddress // 'http://127.0.0.1:40001'
 */
export async function startStandinCell (options: StandinCellOptions = {}): Promise<StandinCell> {
  const targets = await startTargets(options)
  const store = InMemoryStore.create()
  const hostList = InMemoryHostList.create({
    targets: targets.map((served) => served.target),
    lagMs: options.hostListLagMs ?? DEFAULT_HOST_LIST_LAG_MS
  })
  const storeServer = await serveStore(store)
  const hostListServer = await serveHostList(hostList)
  const servers = [storeServer, hostListServer, ...targets.map((served) => served.server)]
  return {
    storeAddress: storeServer.address,
    hostListAddress: hostListServer.address,
    store,
    storeServer,
    hostList,
    hostListServer,
    targets: new Map(targets.map((served) => [served.target.id, served])),
    executions: () => targets.flatMap(getExecutions),
    close: async () => { await Promise.all(servers.map((server) => server.close())) }
  }
}

async function startTargets (options: StandinCellOptions): Promise<ServedTarget[]> {
  const checkpoints: Checkpoints = new Map()
  const count = options.targets ?? DEFAULT_TARGET_COUNT
  return Promise.all(Array.from({ length: count }, (_, index) => startTarget(options, checkpoints, index)))
}

async function startTarget (options: StandinCellOptions, checkpoints: Checkpoints, index: number): Promise<ServedTarget> {
  const capacity = options.capacity ?? DEFAULT_CAPACITY
  const standin = InMemoryTarget.create({ capacity, usageLagMs: options.usageLagMs, checkpoints, startedAt: clockNow() - (options.targetUpMs ?? 0) })
  const server = await serveTarget(standin)
  return { target: createTarget(options, capacity, index, server.address), standin, server }
}

/** Assigns the failure domain and the rack; all targets of a rack are in one failure domain. */
function createTarget (options: StandinCellOptions, capacity: Resources, index: number, address: string): Target {
  const domains = options.failureDomains ?? DEFAULT_FAILURE_DOMAINS
  const failureDomain = domains[index % domains.length]!
  const rack = Math.floor(Math.floor(index / domains.length) / (options.targetsPerRack ?? DEFAULT_TARGETS_PER_RACK))
  const id = `t${index}`
  return { id, host: `host-${index}`, address, failureDomain, rack: `${failureDomain}-${rack}`, capacity, state: 'live' }
}

function getExecutions ({ target, standin }: ServedTarget): (Execution & { readonly target: TargetId })[] {
  return standin.executions.map((execution) => ({ ...execution, target: target.id }))
}
