import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberCallClient } from '../../src/adapters/grpc-member-calls.ts'
import type { ProbeResult } from '../../src/adapters/probe-address.ts'
import { AdviceCache } from '../../src/controller/advice/advice-cache.ts'
import { Controller } from '../../src/controller/controller.ts'
import { IncarnationCheck } from '../../src/controller/commands/incarnation-check.ts'
import { JobService } from '../../src/controller/job-service.ts'
import { Leadership } from '../../src/controller/leadership/leadership.ts'
import type { Term } from '../../src/controller/leadership/leadership.ts'
import { MemberLink } from '../../src/controller/member-link.ts'
import type { MemberCall, MemberCallFailure, MemberResponse, Peer } from '../../src/controller/member-call.ts'
import { ProcessProbe } from '../../src/controller/leadership/process-probe.ts'
import type { Reporter } from '../../src/controller/reporter.ts'
import type { ConnectionCommands } from '../../src/ports/command-client.ts'
import { StoreDetour } from '../../src/controller/store-detour/store-detour.ts'
import { StoreProxy } from '../../src/controller/store-detour/store-proxy.ts'
import type { ObservedStore } from '../../src/ports/store.ts'
import type { TargetEntry } from '../../src/workflow/target-entry.ts'
import type { JobMemory } from '../../src/workflow/held-jobs.ts'
import { CONFIGURATION } from '../workflow/harness.ts'

export const TARGET_PREFIX = 'servers/'
const LEASE_MS = 3_500
/** Where members listen beside the port for members. */
export const FURTHER_PORTS = [8_183, 8_184] as const
/** The second organisation may use half of six targets. */
const TWO_ORGANISATIONS = { ...CONFIGURATION, organisations: [...CONFIGURATION.organisations, { ...CONFIGURATION.organisations[0]!, name: 'aba', maximum: { cpuMillis: 12_000, memoryMiB: 0, accelerators: 0 } }] }

export type MemberCallResult = Result<MemberResponse, MemberCallFailure>

/** What a member reaches: the store, the targets and the other members. */
export type VirtualMemberOptions = {
  readonly self: Peer
  readonly store: ObservedStore
  /** Whether the member calls the store through others while it is refused alone. */
  readonly hasDetour: boolean
  readonly commands: ConnectionCommands
  readonly callMember: (address: string, call: MemberCall, timeoutMs: number) => Promise<MemberCallResult>
  readonly probe: (address: string) => Promise<ProbeResult>
  readonly reporter: Reporter
  readonly longestLeaseMs: number
  /** Memory of a leader for jobs; without it, the default one. */
  readonly jobMemory?: JobMemory | undefined
}

/** A member with the product's own classes, composed as on the platform, without its connections. */
export class VirtualMember {
  readonly leadership: Leadership
  readonly link: MemberLink
  readonly jobService: JobService
  private readonly commands: IncarnationCheck
  private controller: Controller | undefined
  private readonly store: ObservedStore

  private constructor (private readonly options: VirtualMemberOptions) {
    const { self, store: direct, hasDetour, reporter, callMember, probe } = options
    const store = hasDetour ? StoreDetour.create({ direct, self, reporter, getPeers: () => this.link.knownMembers, getLeaderAddress: () => this.leadership.leader?.address, callMember }) : direct
    this.store = store
    this.commands = IncarnationCheck.create({ commands: options.commands, reporter })
    const advisor = AdviceCache.create({ advise: async () => ({ type: 'failed', reason: 'none' }) })
    this.link = MemberLink.create({
      self,
      client: { call: callMember, close: () => {} } as unknown as MemberCallClient,
      advisor,
      reporter,
      probe,
      getLeadership: () => this.leadership,
      getController: () => this.controller,
      ...hasDetour && { storeProxy: StoreProxy.create({ direct, reporter }) }
    })
    this.jobService = JobService.create({
      store,
      reporter,
      isStoreResponsive: () => true,
      getRetryAfterMs: () => undefined,
      requestPhase: (id) => this.link.requestPhase(id),
      announceJob: (definition) => this.link.announce({ type: 'job-stored', definition }),
      announceCancellation: (id) => this.link.announce({ type: 'cancel-stored', id })
    })
    this.leadership = Leadership.create({
      store,
      member: self.member,
      address: self.address,
      cores: 2,
      isDetouring: () => store instanceof StoreDetour && store.isDetouring,
      reporter,
      onElected: (term) => this.startController(term, advisor),
      onLeadershipLost: () => this.stopController(),
      onOtherLeader: () => { this.link.sendHello().catch(() => {}) }
    })
    this.link.start()
  }

  /** Starts a member; to be called as part of its process. */
  static start (options: VirtualMemberOptions): VirtualMember {
    return new VirtualMember(options)
  }

  get leadsController (): boolean {
    return this.controller !== undefined
  }

  private startController (term: Term, advisor: AdviceCache): void {
    const { self, reporter, probe, longestLeaseMs, jobMemory } = this.options
    const { store } = this
    const processProbe = ProcessProbe.create({ probe, furtherPorts: FURTHER_PORTS })
    this.controller?.stop()
    this.controller = Controller.create({
      store,
      term,
      commands: this.commands,
      openRelayStream: () => { throw new Error('too few targets for relays') },
      advisor,
      self,
      reporter,
      leaseMs: LEASE_MS,
      longestLeaseMs,
      ...jobMemory !== undefined && { jobMemory },
      targetPrefix: TARGET_PREFIX,
      parseTarget: (_key, value) => JSON.parse(value) as TargetEntry,
      requestPeerAdvice: (peer, step, targets, timeoutMs) => this.link.requestAdvice(peer, step, targets, timeoutMs),
      requestCachedAdvice: (peer) => this.link.requestCachedAdvice(peer),
      requestConfirmation: (peer, ownTerm) => this.link.requestConfirmation(peer, ownTerm),
      standDown: () => this.leadership.stepDownForTerm(term.term),
      requestStandDown: (peer, laterTerm) => this.link.requestStandDown(peer, laterTerm),
      checkProcess: ({ address }) => processProbe.check(address),
      isLeaseConfirmed: () => this.leadership.isLeaseConfirmed,
      getAloneUntil: () => this.leadership.aloneUntil,
      onFenced: (reason) => this.leadership.stepDown(reason)
    })
    this.controller.configure(TWO_ORGANISATIONS)
  }

  private stopController (): void {
    this.controller?.stop()
    this.controller = undefined
  }
}

/** The result of a call that got no response. */
export function failCall (reason: MemberCallFailure['reason']): MemberCallResult {
  return err({ reason })
}

/** The result of a call that was answered. */
export function answerCall (response: MemberResponse): MemberCallResult {
  return ok(response)
}
