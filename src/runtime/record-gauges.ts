import type { PeerTraffic } from '../adapters/grpc-peer-transport.ts'
import type { Member } from '../core/member.ts'
import type { Telemetry } from '../telemetry/index.ts'

/**
 * Sets the gauges to the member's current state; called before the metrics are read.
 *
 * @example
 * recordGauges(telemetry, member, { sent, received })
 */
export function recordGauges (telemetry: Telemetry, member: Member, traffic: { readonly sent: PeerTraffic, readonly received: PeerTraffic }): void {
  const { gauges } = telemetry
  const memory = process.memoryUsage()
  const { user, system } = process.cpuUsage()
  gauges.set('configuration_revision', {}, member.configuration.revision)
  gauges.set('waiting_callers', {}, member.waitingCallers)
  gauges.set('owned_groups', {}, member.ownedGroups.length)
  gauges.set('ready_groups', {}, member.ownedGroups.filter((group) => group.ready).length)
  gauges.set('waiting_tasks', {}, member.ownedGroups.reduce((sum, group) => sum + group.summary.waiting, 0))
  gauges.set('resident_memory_bytes', {}, memory.rss)
  gauges.set('heap_used_bytes', {}, memory.heapUsed)
  gauges.set('cpu_microseconds', {}, user + system)
  gauges.set('peer_bytes', { direction: 'sent' }, traffic.sent.bytes)
  gauges.set('peer_bytes', { direction: 'received' }, traffic.received.bytes)
}
