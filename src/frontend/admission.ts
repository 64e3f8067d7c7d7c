import { err, ok, type Result } from 'neverthrow'
import type { Configuration } from '../model/configuration.ts'
import type { TeamName } from '../model/ids.ts'
import type { Refusal } from '../model/refusal.ts'
import type { Credential } from './event.ts'

const RETRY_AFTER_MS = 1_000

/** State of the member that decides whether the frontend admits work. */
export type AdmissionState = { readonly configuration: Configuration, readonly fresh: boolean, readonly leaving: boolean }

/**
 * Returns the team that a caller's work belongs to, or the reason of its refusal. Work for a team's queue is accepted
 * only with a current key of that team, and only while the configuration is known to be fresh.
 *
 * @example
 * admit(state, 'alarms', { type: 'key', id: 'k1', hash })
 */
export function admit (state: AdmissionState, queueName: string, credential: Credential): Result<TeamName, Refusal> {
  const { configuration, fresh, leaving } = state
  if (leaving) return err({ reason: 'shutting-down', retryAfterMs: RETRY_AFTER_MS })
  if (configuration.revision === 0) return err({ reason: 'starting-up', retryAfterMs: RETRY_AFTER_MS })
  if (!fresh) return err({ reason: 'configuration-not-fresh', retryAfterMs: RETRY_AFTER_MS })
  const queue = configuration.queues.get(queueName)
  if (queue === undefined) return err({ reason: 'unknown-queue', queue: queueName })
  if (queue.access.type === 'open') return ok(queue.access.team)
  const team = resolveKeyTeam(state, credential)
  if (team.isOk() && team.value !== queue.access.team) return err({ reason: 'key-rejected' })
  return team
}

/**
 * Returns the team of a current key, or the reason why the credential is refused.
 *
 * @example
 * resolveKeyTeam(state, { type: 'none' }) // err({ reason: 'key-missing' })
 */
export function resolveKeyTeam (state: AdmissionState, credential: Credential): Result<TeamName, Refusal> {
  if (credential.type === 'none') return err({ reason: 'key-missing' })
  if (!state.fresh) return err({ reason: 'configuration-not-fresh', retryAfterMs: RETRY_AFTER_MS })
  if (credential.type === 'rejected') return err({ reason: 'key-rejected' })
  const key = state.configuration.keys.get(credential.id)
  if (key === undefined || key.hash !== credential.hash) return err({ reason: 'key-rejected' })
  return ok(key.team)
}
