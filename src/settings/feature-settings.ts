import { err, ok, type Result } from 'neverthrow'
import { INGRESS_TABLE, type IngressSettings } from '../ingress/ingress-settings.ts'
import type { Problem } from '../model/problem.ts'
import type { JsonDocument } from '../util/json-document.ts'
import { checkShape, type JsonShape } from '../util/json-shape.ts'
import { buildShape, type LeafPointer, type Setting } from './setting.ts'

/**
 * Settings of features that a deployment chooses, for a member on the operators' platform. Times are in the unit that the name
 * ends with.
 */
export type FeatureSettings = {
  readonly scheduling: SchedulingFeatures
  readonly storeDetour: { readonly enabled: boolean }
  /** Limits on callers, which are always in force. */
  readonly ingress: IngressSettings
}

/** Features of the scheduler of a cell. */
export type SchedulingFeatures = {
  readonly pastUseHalfLifeS: number
  readonly submissionBurstS: number
  readonly learnedRunTimes: boolean
  readonly newestFirstInBacklog: boolean
  readonly completionForecast: boolean
  readonly preemption: boolean
  readonly parallelLastAttempts: boolean
}

const MAX_SUBMISSION_BURST_S = 60
const MAX_HALF_LIFE_S = 2_592_000

/** All feature settings by JSON pointer, each with the default that leaves the feature off. The limits on callers are always in force. */
export const FEATURE_TABLE: Readonly<Record<LeafPointer<FeatureSettings>, Setting>> = {
  '/scheduling/pastUseHalfLifeS': { shape: { type: 'number', integer: false, min: 0, max: MAX_HALF_LIFE_S }, unit: 's', default: 0, description: 'Half-life of the past use of an organisation, which orders waiting work. 0: past use does not count.' },
  '/scheduling/submissionBurstS': { shape: { type: 'number', integer: false, min: 0.1, max: MAX_SUBMISSION_BURST_S }, unit: 's', default: 1.5, description: 'Burst of submissions of an organisation that counts as within its share, in seconds of its rate of `weight` jobs a second. Jobs beyond it are served after all others.' },
  '/scheduling/learnedRunTimes': flag('Run times are estimated from the runs that ended, beside what their jobs declare.'),
  '/scheduling/newestFirstInBacklog': flag('Of an organisation whose work waits longer than its objective allows, the newest jobs that can still end on time start first.'),
  '/scheduling/completionForecast': flag('Jobs are refused that would end too late to be of use to their callers.'),
  '/scheduling/preemption': flag('Runs that can be saved are stopped for urgent tasks that wait for room or for the maximum of their organisation.'),
  '/scheduling/parallelLastAttempts': flag('The last attempt of a speculative task starts on several targets at once.'),
  '/storeDetour/enabled': flag('A member that alone has lost the store calls it through other members.'),
  ...INGRESS_TABLE
}

const FEATURE_SHAPE: JsonShape = buildShape(Object.entries(FEATURE_TABLE).map(([pointer, setting]) => [pointer.slice(1).split('/'), setting]))

/** The settings of a member for which none are given: no feature is on. */
export const DEFAULT_FEATURES: FeatureSettings = checkShape({ value: {}, lines: new Map(), duplicates: [] }, '', FEATURE_SHAPE).value as FeatureSettings

/**
 * Checks the feature settings of a member. Returns them with all defaults, or all problems, each with its JSON pointer.
 *
 * @example
 * checkFeatureSettings({ value: { storeDetour: { enabled: true } }, lines: new Map(), duplicates: [] }, 'settings.json')
 */
export function checkFeatureSettings (document: JsonDocument, file: string): Result<FeatureSettings, readonly Problem[]> {
  const { value, problems } = checkShape(document, file, FEATURE_SHAPE)
  return problems.length > 0 ? err(problems) : ok(value as FeatureSettings)
}

function flag (description: string): Setting {
  return { shape: { type: 'boolean' }, default: false, description }
}
