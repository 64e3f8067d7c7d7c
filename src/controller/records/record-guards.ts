import type { StoredCrashes } from '../../workflow/crashes/crash-record.ts'
import { isFinalPhase } from '../../workflow/job.ts'
import type { JobDefinition, JobPhase, Step } from '../../workflow/job.ts'
import type { JobSettings, OrganisationSettings, QueueSettings } from '../../workflow/settings/job-settings.ts'
import type { VersionedSettings } from '../../workflow/settings/known-settings.ts'
import type { JobProgress, StepProgress } from '../../workflow/progress-record.ts'

type Fields = Readonly<Record<string, unknown>>

const MAX_TASKS_PER_STEP = 1_000_000
const DECIMAL = /^\d+$/
const HEXADECIMAL = /^[\da-f]+$/

/** Whether a stored value has all that the scheduler reads of a job's definition, apart from the settings. */
export function isJobDefinition (value: unknown): value is JobDefinition {
  return isObject(value) && [value.id, value.queue, value.organisation, value.payload].every(isString) &&
    [value.firstAtMs, value.intervalMs, value.occurrences, value.submittedAtMs].every(isFiniteNumber) &&
    Array.isArray(value.steps) && value.steps.length > 0 && value.steps.every(isStep)
}

function isStep (value: unknown, number: number): value is Step {
  return isObject(value) && isFiniteNumber(value.count) && value.count >= 1 && value.count <= MAX_TASKS_PER_STEP &&
    isDemand(value.demand) &&
    [value.estimatedMs, value.perTargetLimit, value.latencyTargetMs].every(isFiniteNumber) &&
    Array.isArray(value.after) && value.after.every((earlier) => isFiniteNumber(earlier) && earlier >= 0 && earlier < number)
}

/** Whether a stored value has the settings that a job refers to. */
export function isJobSettings (value: unknown): value is JobSettings {
  return isObject(value) && isFiniteNumber(value.version) && isQueueSettings(value.queue) &&
    (value.organisation === undefined || isOrganisationSettings(value.organisation))
}

/** Whether a stored value has the last settings of a removed queue. */
export function isRemovedQueue (value: unknown): value is VersionedSettings<QueueSettings> {
  return isObject(value) && isFiniteNumber(value.version) && isQueueSettings(value.settings)
}

/** Whether a stored value has the last settings of a removed organisation. */
export function isRemovedOrganisation (value: unknown): value is VersionedSettings<OrganisationSettings> {
  return isObject(value) && isFiniteNumber(value.version) && isOrganisationSettings(value.settings)
}

function isQueueSettings (value: unknown): value is QueueSettings {
  return isObject(value) && [value.name, value.pool].every(isString) &&
    [value.priority, value.maxAttempts, value.stretch, value.latencyObjectiveMs].every(isFiniteNumber) &&
    (value.advice === undefined || isAdviceTimings(value.advice))
}

function isAdviceTimings (value: unknown): boolean {
  return isObject(value) && [value.decisionMs, value.perTargetMs, value.validityMs].every(isFiniteNumber)
}

function isOrganisationSettings (value: unknown): value is OrganisationSettings {
  return isObject(value) && isString(value.name) && isFiniteNumber(value.weight) && isDemand(value.maximum)
}

function isDemand (value: unknown): boolean {
  return isObject(value) && [value.cpuMillis, value.memoryMiB, value.accelerators].every(isFiniteNumber)
}

/** Whether a stored value is the progress of a job. */
export function isJobProgress (value: unknown): value is JobProgress {
  return isObject(value) && isPhase(value.phase) && isOccurrence(value.nextOccurrence) && isObject(value.open) &&
    Object.keys(value.open).every((occurrence) => DECIMAL.test(occurrence)) &&
    Object.values(value.open).every((steps) => Array.isArray(steps) && steps.every(isStepProgress))
}

function isStepProgress (value: unknown): value is StepProgress {
  return isObject(value) && isString(value.done) && HEXADECIMAL.test(value.done) && isRunNumbers(value.gangFailedRuns) &&
    isObject(value.failedRuns) && Object.values(value.failedRuns).every(isRunNumbers) &&
    (value.crashes === undefined || (isObject(value.crashes) && Object.values(value.crashes).every(isStoredCrashes)))
}

function isStoredCrashes (value: unknown): value is StoredCrashes {
  return isObject(value) && isObject(value.confirmed) && isObject(value.possible)
}

function isRunNumbers (value: unknown): boolean {
  return Array.isArray(value) && value.every(isFiniteNumber)
}

function isOccurrence (value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0
}

function isPhase (value: unknown): value is JobPhase {
  return value === 'queued' || value === 'running' || isFinalPhase(value as JobPhase)
}

function isString (value: unknown): value is string {
  return typeof value === 'string'
}

function isFiniteNumber (value: unknown): value is number {
  return Number.isFinite(value)
}

function isObject (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
