import type { IngressSettings } from './ingress-settings.ts'
import type { ProcessResources } from './process-resources.ts'

/** The settings within the resources of the process. */
export type IngressLimits = IngressSettings & {
  /** `maxRequests` and `heldBytes` of one organisation. */
  readonly organisationRequests: number
  readonly organisationBytes: number
}

const MEMORY_PART = 0.1
/** At most this part of the descriptors is reserved, so that a process with a low limit still serves callers. */
const MAX_RESERVED_PART = 0.5
const MIN_CONNECTIONS = 8
/** Ports for readiness and metrics. */
const SERVICE_PORTS = 2

/**
 * Reduces the settings to what the process has: the held bytes to a tenth of its memory, the connections to its descriptors
 * less those that are reserved, which are half of them at most.
 *
 * @example
 * computeLimits(DEFAULT_INGRESS_SETTINGS, { memoryBytes: 250_000_000, descriptors: 4_100 }).heldBytes // 25000000
 */
export function computeLimits (settings: IngressSettings, { memoryBytes, descriptors }: ProcessResources): IngressLimits {
  const reserved = Math.min(settings.reservedDescriptors + SERVICE_PORTS * settings.maxServiceConnections, Math.floor(descriptors * MAX_RESERVED_PART))
  const heldBytes = Math.min(settings.heldBytes, Math.floor(memoryBytes * MEMORY_PART))
  const part = settings.organisationPercent / 100
  return {
    ...settings,
    heldBytes,
    maxConnections: Math.max(MIN_CONNECTIONS, Math.min(settings.maxConnections, descriptors - reserved)),
    organisationBytes: Math.floor(heldBytes * part),
    organisationRequests: Math.max(1, Math.floor(settings.maxRequests * part))
  }
}
