import type { ProbeResult } from '../../adapters/probe-address.ts'
import { delay } from '../delay.ts'

/** A process may be between the end of one listener and the start of another; it is not at the second round. */
const ROUNDS = 2
const ROUND_INTERVAL_MS = 100

/** `ended`: no member process runs at the address. `unknown`: one may run there. */
export type ProcessState = 'ended' | 'unknown'

export type ProcessProbeOptions = {
  readonly probe: (address: string) => Promise<ProbeResult>
  /**
   * Ports at which each member process listens beside the port for members, the same on all hosts. One of them at least is open from
   * before the process takes part in the leadership until it ends.
   */
  readonly furtherPorts: readonly number[]
}

/**
 * Checks whether the process of a member has ended. A process that runs may refuse connections at one of its ports, but has none
 * of its listeners only after its end. A host that does not respond shows nothing. Links may refuse connections for a host that
 * runs, so that this is no proof.
 */
export class ProcessProbe {
  private constructor (private readonly options: ProcessProbeOptions) {}

  /**
   * Creates a probe for the members of one cell. Without further ports it never takes a process for ended.
   *
   * @example
   * const processProbe = ProcessProbe.create({ probe: probeAddress, furtherPorts: [8080, 8081] })
   * await processProbe.check('10.1.0.17:7420') // 'ended'
   */
  static create (options: ProcessProbeOptions): ProcessProbe {
    return new ProcessProbe(options)
  }

  /** Checks the process that listened for members at an address. */
  async check (address: string): Promise<ProcessState> {
    if (this.options.furtherPorts.length === 0) return 'unknown'
    for (let round = 0; round < ROUNDS; round += 1) {
      if (round > 0) await delay(ROUND_INTERVAL_MS)
      if (!await this.refusesAll(address)) return 'unknown'
    }
    return 'ended'
  }

  private async refusesAll (address: string): Promise<boolean> {
    const host = address.slice(0, address.lastIndexOf(':'))
    const addresses = [address, ...this.options.furtherPorts.map((port) => `${host}:${port}`)]
    const results = await Promise.all(addresses.map((each) => this.options.probe(each)))
    return results.every((result) => result === 'refused')
  }
}
