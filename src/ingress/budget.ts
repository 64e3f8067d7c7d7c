import type { IngressLimits } from './ingress-limits.ts'

type Use = { bytes: number, requests: number }

/** Why something more doesn't fit. */
export type RequestExcess = 'requests' | 'organisation-requests'
/** Why something more doesn't fit. */
export type ByteExcess = 'bytes' | 'organisation-bytes'

const NO_USE: Readonly<Use> = { bytes: 0, requests: 0 }

/** Counts what callers hold in a process: bytes and requests without a response, in all and by organisation. */
export class Budget {
  private readonly all: Use = { bytes: 0, requests: 0 }
  private readonly organisations = new Map<string, Use>()

  private constructor () {}

  static create (): Budget {
    return new Budget()
  }

  get bytes (): number { return this.all.bytes }
  get requests (): number { return this.all.requests }

  /** Adds to what an organisation holds, or subtracts; `organisation` is undefined while it is not known. */
  add (organisation: string | undefined, bytes: number, requests: number): void {
    addTo(this.all, bytes, requests)
    if (organisation === undefined) return
    const use = this.organisations.get(organisation) ?? { bytes: 0, requests: 0 }
    addTo(use, bytes, requests)
    if (use.bytes <= 0 && use.requests <= 0) this.organisations.delete(organisation)
    else this.organisations.set(organisation, use)
  }

  /** Returns which limit of requests is exceeded, of which only a part may be used. */
  findRequestExcess (organisation: string | undefined, limits: IngressLimits, part = 1): RequestExcess | undefined {
    if (this.all.requests > limits.maxRequests * part) return 'requests'
    return this.getUse(organisation).requests > limits.organisationRequests * part ? 'organisation-requests' : undefined
  }

  /** Returns which limit of bytes is exceeded. */
  findByteExcess (organisation: string | undefined, limits: IngressLimits): ByteExcess | undefined {
    if (this.all.bytes > limits.heldBytes) return 'bytes'
    return this.getUse(organisation).bytes > limits.organisationBytes ? 'organisation-bytes' : undefined
  }

  private getUse (organisation: string | undefined): Readonly<Use> {
    return organisation === undefined ? NO_USE : this.organisations.get(organisation) ?? NO_USE
  }
}

function addTo (use: Use, bytes: number, requests: number): void {
  use.bytes += bytes
  use.requests += requests
}
