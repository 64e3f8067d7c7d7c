import type { Result } from 'neverthrow'
import type { Epoch, GroupNumber, TaskId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import type { Target, TaskUsage } from '../model/target.ts'
import type { EndedTask, RunningTask, TaskAttempt, Work } from '../model/work.ts'
import type { Verdict } from '../model/verdict.ts'

/**
 * One call to a target. Each call carries the group and the epoch of its owner; a target refuses an epoch lower than the
 * highest that it has seen for the group. `lease` numbers the task lease within the epoch: `adopt` begins a lease with a
 * higher number and is refused with a lower one; every other call must carry the current number. A call that was sent
 * before an adoption and arrives after it therefore has no effect.
 *
 * adopt: takes over the target, fences older epochs, begins the task lease and lists its tasks.
 * start: runs a task; the target deduplicates by task id and attempt.
 * sync: renews the task lease, acknowledges ended attempts (a newer attempt of the same task is kept), and waits up to
 * `waitMs` until a task with a sequence number above `after` has ended; a result that was reported before and is still
 * kept does not end the wait.
 * control: acts on a running task.
 */
export type TargetCall =
  | { readonly type: 'adopt', readonly group: GroupNumber, readonly epoch: Epoch, readonly lease: number, readonly leaseMs: number }
  | { readonly type: 'start', readonly group: GroupNumber, readonly epoch: Epoch, readonly lease: number, readonly taskId: TaskId, readonly attempt: number, readonly work: Work }
  | { readonly type: 'sync', readonly group: GroupNumber, readonly epoch: Epoch, readonly lease: number, readonly leaseMs: number, readonly acknowledged: readonly TaskAttempt[], readonly after: number, readonly waitMs: number }
  | { readonly type: 'control', readonly group: GroupNumber, readonly epoch: Epoch, readonly lease: number, readonly taskId: TaskId, readonly action: TaskAction }

/** throttle: limits the task to its declared resources. checkpoint: saves its state and stops it. */
export type TaskAction = 'checkpoint' | 'throttle' | 'stop'

/** Why a target refused to start a task. */
export type StartRefusal = 'no-room' | 'leaving' | 'duplicate-ended'

/**
 * Response to the call of the same type. `sequence` is the number of the last task that ended on the target. `upMs` is the
 * uptime of the target; results of tasks that ended before it started are lost.
 */
export type TargetResponse =
  | { readonly type: 'adopt', readonly running: readonly RunningTask[], readonly ended: readonly EndedTask[], readonly sequence: number, readonly upMs: number, readonly capacity: Resources }
  | { readonly type: 'start', readonly started: boolean, readonly refusal?: StartRefusal }
  | { readonly type: 'sync', readonly ended: readonly EndedTask[], readonly sequence: number, readonly usage: readonly TaskUsage[], readonly running: number }
  | { readonly type: 'control', readonly found: boolean }

/**
 * A call without a usable response. `fenced`: the target has seen a higher epoch and the call had no effect.
 * `unknown-lease`: the target restarted, its task lease expired or the call carries an older lease; the call had no
 * effect and the target must be adopted again.
 */
export type TargetFailure = {
  readonly reason: 'timeout' | 'unavailable' | 'fenced' | 'unknown-lease' | 'malformed-answer'
  readonly verdict: Verdict
}

/** The targets of the fleet. */
export type TargetClient = {
  readonly call: (target: Target, call: TargetCall) => Promise<Result<TargetResponse, TargetFailure>>
}
