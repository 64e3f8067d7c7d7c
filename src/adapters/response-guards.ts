import type { Resources } from '../model/resources.ts'
import type { Target } from '../model/target.ts'
import type { TaskOutcome, Work, WorkKind } from '../model/work.ts'
import type { HostListing } from '../ports/host-list.ts'
import type { StoreResponse, StoreChange } from '../ports/store.ts'
import type { TargetResponse } from '../ports/target-client.ts'
import { isUnknown, isArrayOf, isBoolean, isIntersectionOf, isCount, isNumber, isOneOf, isOptional, isShape, isString, isVariant } from './guards.ts'
import type { Guard } from './guards.ts'

const isStoreEntry = isShape({ key: isString, value: isString, version: isCount })

const isStoreChange = isVariant<StoreChange>('type', {
  put: isShape({ entry: isStoreEntry }),
  deleted: isShape({ key: isString, version: isCount })
})

/** Checks a response of the store to a call of any type. */
export const isStoreResponse: Guard<StoreResponse> = isVariant<StoreResponse>('type', {
  read: isShape({ entries: isArrayOf(isStoreEntry), more: isBoolean, version: isCount }),
  transact: isShape({ committed: isBoolean, current: isArrayOf(isStoreEntry), version: isCount }),
  'grant-lease': isShape({ lease: isString }),
  'renew-lease': isShape({ alive: isBoolean }),
  'revoke-lease': isShape({}),
  watch: isShape({ changes: isArrayOf(isStoreChange), version: isCount, compacted: isBoolean })
})

const isResources: Guard<Resources> = isShape({
  cpuMillis: isNumber,
  memoryMiB: isNumber,
  accelerators: isNumber,
  slots: isNumber,
  connections: isNumber
})

const isWorkKind = isVariant<WorkKind>('kind', {
  request: isShape({ deadlineAt: isNumber }),
  service: isShape({ count: isCount }),
  batch: isShape({ count: isCount }),
  gang: isShape({ count: isCount })
})

/** The payload may have any value and may be missing, because only the caller interprets it. */
const isWorkDetails = isShape({
  id: isString,
  team: isString,
  queue: isString,
  family: isString,
  resources: isResources,
  expectedMs: isNumber,
  urgent: isBoolean,
  idempotent: isBoolean,
  submittedAt: isNumber,
  payload: isUnknown
})

const isWork: Guard<Work> = isIntersectionOf(isWorkDetails, isWorkKind)

const isOutcome = isVariant<TaskOutcome>('type', {
  succeeded: isShape({ output: isUnknown }),
  failed: isShape({ reason: isString }),
  stopped: isShape({ checkpointed: isBoolean })
})

const isRunningTask = isShape({ taskId: isString, attempt: isCount, work: isWork, startedAt: isNumber })
const isEndedTask = isShape({ taskId: isString, attempt: isCount, work: isWork, outcome: isOutcome })
const isTaskUsage = isShape({ taskId: isString, resources: isResources })

/** Checks a response of a target to a call of any type. */
export const isTargetResponse: Guard<TargetResponse> = isVariant<TargetResponse>('type', {
  adopt: isShape({ running: isArrayOf(isRunningTask), ended: isArrayOf(isEndedTask), sequence: isCount, upMs: isNumber, capacity: isResources }),
  start: isShape({ started: isBoolean, refusal: isOptional(isOneOf('no-room', 'leaving', 'duplicate-ended')) }),
  sync: isShape({ ended: isArrayOf(isEndedTask), sequence: isCount, usage: isArrayOf(isTaskUsage), running: isCount }),
  control: isShape({ found: isBoolean })
})

const isTarget: Guard<Target> = isShape({
  id: isString,
  host: isString,
  address: isString,
  failureDomain: isString,
  rack: isString,
  capacity: isResources,
  state: isOneOf('live', 'leaving')
})

/** Checks a response of the host list. */
export const isHostListing: Guard<HostListing> = isShape({ targets: isArrayOf(isTarget), ageMs: isNumber })
