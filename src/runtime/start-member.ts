import { randomBytes, randomInt } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { GrpcPeerServer } from '../adapters/grpc-peer-server.ts'
import { GrpcPeerTransport } from '../adapters/grpc-peer-transport.ts'
import { HttpHostList } from '../adapters/http-host-list.ts'
import { HttpStore } from '../adapters/http-store.ts'
import { HttpTargetClient } from '../adapters/http-target-client.ts'
import { TlsFiles } from '../adapters/tls-files.ts'
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
import { steadyClock } from './clock.ts'
import { Loop } from './loop.ts'
import { recordGauges } from './record-gauges.ts'
import { Runner } from './runner.ts'

/** Name in the certificate of every member; members are addressed by IP number. */
const PEER_SERVER_NAME = 'damaskfield-member'
const PERCENT = 100
const SEED_BOUND = 2 ** 32
const INCARNATION_DIGITS = 15

/** A member that runs in this process. */
export type StartedMember = {
  /** Leaves gracefully; resolves when the member has handed over its groups and ended every response. */
  readonly stop: () => Promise<void>
  /** Resolves after the leave. */
  readonly finished: Promise<void>
  /** Port of the callers' interface. */
  readonly callerPort: number
  readonly peerPort: number
}

export type StartOptions = {
  /** Log lines go here instead of the standard output. */
  readonly logStream?: NodeJS.WritableStream
  /** Time for which the member takes work while it is no longer ready. Default 2,000. */
  readonly drainMs?: number
}

/**
 * Starts one member with real adapters and the HTTP interface.
 *
 * @example
 * const member = await startMember(settings)
 * await member.finished
 */
export async function startMember (settings: Settings, options: StartOptions = {}): Promise<StartedMember> {
  const clock = steadyClock()
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
    run: (effects) => runner.run(effects),
    observe: (durationMs) => telemetry.histograms.record('event_duration', durationMs, performance.now())
  })
  const callers = Callers.create((event) => loop.dispatch(event))
  const left = new Deferred()
  const runner = Runner.create({
    member,
    memberId: settings.member.id,
    ports: { store, hostList, targets, peers },
    callers,
    recorder: { count: (effect) => telemetry.report(effect), log: (effect) => telemetry.report(effect) },
    clock,
    dispatch: (event) => loop.dispatch(event),
    left: () => left.resolve()
  })
  const peerServer = await GrpcPeerServer.listen({ address: settings.peers.listen, tls, onEnvelope: (envelope) => loop.dispatch({ type: 'peer-received', envelope }) })
  if (peerServer.isErr()) throw new Error(`cannot listen for members on ${settings.peers.listen}: ${peerServer.error.detail}`)
  let draining = false
  const api = ApiServer.create({
    callers,
    keys: KeyVerifier.create(),
    configuration: () => member.configuration,
    ready: () => !draining && member.isReady(clock.now()),
    alive: () => true,
    metrics: () => {
      recordGauges(telemetry, member, { sent: peers.sent, received: peerServer.value.received })
      return telemetry.text(performance.now())
    },
    history: async (after, limit) => await readHistory(store, after, limit),
    groups: settings.groups,
    ownerOf: (group) => member.getOwner(group),
    bodyLimitBytes: settings.limits.bodyBytes,
    operatorKeyHash: settings.operatorKeyHash
  })
  const { host, port } = splitAddress(settings.callers.listen)
  const callerPort = await api.listen(host, port)
  loop.start()
  const finished = new Deferred()
  const stop = async (): Promise<void> => {
    if (draining) return await finished.promise
    draining = true
    loop.dispatch({ type: 'leave-requested' })
    await left.promise
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
    incarnation: newIncarnation(),
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

/** Sorts in the order of the starts of one member, as the cluster requires. */
function newIncarnation (): string {
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

function splitAddress (address: string): { readonly host: string, readonly port: number } {
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
