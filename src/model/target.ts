import type { FailureDomainName, HostId, RackName, TargetId, TaskId } from './ids.ts'
import type { Resources } from './resources.ts'

/** Entry of the host list: a host of the fleet and the target on it. */
export type Target = {
  readonly id: TargetId
  readonly host: HostId
  /** Base URL, for example `http://127.0.0.1:9001`. */
  readonly address: string
  readonly failureDomain: FailureDomainName
  readonly rack: RackName
  readonly capacity: Resources
  readonly state: 'live' | 'leaving'
}

/** Usage of one task, as last measured by its target. */
export type TaskUsage = {
  readonly taskId: TaskId
  readonly resources: Resources
}
