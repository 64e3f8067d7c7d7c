import { randomBytes, randomInt } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { GrpcPeerServer } from '../adapters/grpc-peer-server.ts'
import { GrpcPeerTransport } from '../adapters/grpc-peer-transport.ts'
import { HttpHostList } from '../adapters/http-host-list.ts'
import { HttpStore } from '../adapters/http-store.ts'
import { HttpTargetClient } from '../adapters/http-target-client.ts'
import { TlsFiles } from '../adapters/tls-files.ts'
import { Ingress } from '../ingress/index.ts'
import { ApiServer } from '../api/api-server.ts'
import { REVISIONS_PREFIX, revisionKey, parseRevision } from '../cluster/store-records.ts'
import { Member } from '../core/member.ts'
import { DEFAULT_GROUP_TIMING } from '../group/timing.ts'
import type { ConfigurationRevision } from '../model/configuration.ts'
import type { Store, StoreFailure } from '../ports/store.ts'
import type { Settings } from '../settings/index.ts'
import { Telemetry } from '../telemetry/index.ts'
import { KeyVerifier } from '../util/key-verifier.ts'
import { Callers } from './callers.ts'
import { createMonotonicClock } from './clock.ts'
import { Loop } from './loop.ts'
import { recordGauges } from './record-gauges.ts'
import { Runner } from './runner.ts'

/** Name in the certificate of every member; it is verified instead of a host name because members are addressed by IP address. */
const PEER_SERVER_NAME = 'damaskfield-member'
const PERCENT = 100
const SEED_BOUND = 2 ** 32
const INCARNATION_DIGITS = 15

/** A running member of this process. */
export type StartedMember = {
  /** Shuts the member down gracefully; resolves when it has handed over its groups and ended every HTTP response. */
  readonly stop: () => Promise<void>
  /** Resolves when the shutdown is complete. */
  readonly finished: Promise<void>
  /** Port of the HTTP interface for callers. */
  readonly callerPort: number
  readonly peerPort: number
}

/** Options that override settings, for example in a demo. */
export type StartOptions = {
  /** Stream for log lines. Default: standard output. */
  readonly logStream?: NodeJS.WritableStream
  /** How long a leaving member still accepts work although it reports that it is not ready. Default 2,000. */
  readonly drainMs?: number
}

/**
 * Starts one member with the adapters for the real outside systems and the HTTP interface.
 *
 * @example
 * const member = await startMember(settings)
 * await member.finished
 */
export async function startMember (settings: Settings, options: StartOptions = {}): Promise<StartedMember> {
  const clock = createMonotonicClock()
  const telemetry = Telemetry.create({ member: settings.member.id, level: settings.log.level, stream: options.logStream })
  const count = (counter: string, reason: string): void => telemetry.report({ type: 'count', counter, reason })
  const tls = await loadTls(settings)
  const peers = GrpcPeerTransport.create({ tls, count })
  const store = HttpStore.create({ address: settings.store.address, count })
  const hostList = HttpHostList.create({ address: settings.hostList.address, count })
  const targets = HttpTargetClient.create({ count })
  const member = createMember(settings, options)
  const loop: Loop = Loop.create({
    member,
    clock,
    pauseThresholdMs: settings.timings.pauseThresholdMs,
    runEffects: (effects) => runner.run(effects),
    recordDuration: (durationMs) => telemetry.histograms.record('event_duration', durationMs, performance.now())
  })
  const callers = Callers.create((event) => loop.dispatch(event))
  const memberLeft = new Deferred()
  const runner = Runner.create({
    member,
    memberId: settings.member.id,
    ports: { store, hostList, targets, peers },
    callers,
    reporter: { count: (effect) => telemetry.report(effect), log: (effect) => telemetry.report(effect) },
    clock,
    dispatch: (event) => loop.dispatch(event),
    onLeft: () => memberLeft.resolve()
  })
  const peerServer = await GrpcPeerServer.listen({ address: settings.peers.listen, tls, onEnvelope: (envelope) => loop.dispatch({ type: 'peer-received', envelope }) })
  if (peerServer.isErr()) throw new Error(`cannot listen for members on ${settings.peers.listen}: ${peerServer.error.detail}`)
  let draining = false
  const ingress = Ingress.create({
    // Callers wait for the end of their requests on their connections.
    settings: { ...settings.ingress, maxConnections: Math.max(settings.ingress.maxConnections, settings.limits.waitingConnections) },
    reporter: {
      count: (counter, reason) => telemetry.counters.count({ counter, reason }),
      log: (level, message, fields) => telemetry.report({ type: 'log', level, message, fields })
    }
  })
  const api = ApiServer.create({
    ingress,
    callers,
    keyVerifier: KeyVerifier.create(),
    getConfiguration: () => member.configuration,
    isReady: () => !draining && member.isReady(clock.now()),
    isAlive: () => true,
    formatMetrics: () => {
      recordGauges(telemetry, member, { sent: peers.sentTraffic, received: peerServer.value.receivedTraffic })
      return telemetry.formatMetrics(performance.now())
    },
    readHistory: async (after, limit) => await readHistory(store, after, limit),
    groups: settings.groups,
    getOwner: (group) => member.getOwner(group),
    bodyLimitBytes: settings.limits.bodyBytes,
    operatorKeyHash: settings.operatorKeyHash
  })
  const { host, port } = parseAddress(settings.callers.listen)
  const callerPort = await api.listen(host, port)
  loop.start()
  const finished = new Deferred()
  const stop = async (): Promise<void> => {
    if (draining) return await finished.promise
    draining = true
    api.startDraining()
    loop.dispatch({ type: 'leave-requested' })
    await memberLeft.promise
    await api.close()
    loop.stop()
    peerServer.value.close()
    peers.close()
    store.close()
    hostList.close()
    targets.close()
    tls?.close()
    finished.resolve()
  }
  return { stop, finished: finished.promise, callerPort, peerPort: peerServer.value.port }
}

function createMember (settings: Settings, options: StartOptions): Member {
  const { timings, limits } = settings
  return Member.create({
    member: settings.member.id,
    incarnation: createIncarnation(),
    address: settings.peers.advertise,
    failureDomain: settings.member.failureDomain,
    seedPeers: settings.peers.seeds,
    groups: settings.groups,
    seed: randomInt(SEED_BOUND),
    pendingLimit: limits.waitingConnections,
    urgentReserve: Math.floor(limits.waitingConnections * limits.urgentReservePercent / PERCENT),
    clusterTimings: {
      heartbeatMs: timings.heartbeatIntervalMs,
      promiseMs: timings.renewalPromiseMs,
      storeLeaseMs: timings.storeLeaseMs,
      storeRenewalMs: timings.storeLeaseRenewalMs,
      freshnessMs: timings.freshnessWindowMs
    },
    drainMs: options.drainMs,
    commitGatherMs: timings.groupCommitGatherMs,
    groupTiming: {
      ...DEFAULT_GROUP_TIMING,
      taskLeaseMs: timings.taskLeaseMs,
      syncWaitMs: timings.syncWaitMs,
      retentionMs: timings.resultRetentionMs
    }
  })
}

/** Creates an incarnation; the incarnations of one member sort in the order of its starts, as the cluster requires. */
function createIncarnation (): string {
  return `${String(Date.now()).padStart(INCARNATION_DIGITS, '0')}-${randomBytes(4).toString('hex')}`
}

async function readHistory (store: Store, after: number, limit: number): Promise<Result<readonly ConfigurationRevision[], StoreFailure>> {
  const result = await store.call({ type: 'read', prefix: REVISIONS_PREFIX, after: revisionKey(after), limit })
  if (result.isErr()) return err(result.error)
  if (result.value.type !== 'read') return err({ reason: 'malformed-answer', verdict: 'not-applied' })
  return ok(result.value.entries.flatMap((entry) => parseRevision(entry.value) ?? []))
}

async function loadTls (settings: Settings): Promise<TlsFiles | undefined> {
  const { certificateFile, keyFile, authorityFile } = settings.tls
  if (certificateFile === undefined || keyFile === undefined || authorityFile === undefined) return undefined
  const tls = await TlsFiles.load({ certificateFile, keyFile, caFile: authorityFile, serverName: PEER_SERVER_NAME })
  if (tls.isErr()) throw new Error(`cannot use the TLS files: ${tls.error.detail}`)
  return tls.value
}

function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

class Deferred {
  readonly promise: Promise<void>
  resolve: () => void = () => {}

  constructor () {
    this.promise = new Promise((resolve) => { this.resolve = resolve })
  }
}
