import type { SendPermission } from '../../ports/command-client.ts'

/** A start that has not been written for this time, which a command may take, is given up, in milliseconds. */
const MAX_WAIT_MS = 600

/**
 * Permission to write one start: it ends with that of its sender, and when the start has waited too long for its target or for a
 * connection. Its task can then start elsewhere, because the start has certainly not been sent.
 */
export class StartPermit {
  /** Resolves when the start has waited too long; never once it has been written. */
  readonly expired: Promise<void>
  private readonly timer: NodeJS.Timeout
  private state: 'waiting' | 'written' | 'expired' = 'waiting'

  private constructor (private readonly isPermitted: SendPermission) {
    let expire: () => void = () => {}
    this.expired = new Promise((resolve) => { expire = resolve })
    this.timer = setTimeout(() => {
      if (this.state === 'written') return
      this.state = 'expired'
      expire()
    }, MAX_WAIT_MS)
  }

  /**
   * Creates the permit of a start that may wait from now on. `close` must be called in the end.
   *
   * @example
   * const permit = StartPermit.create(isPermitted)
   * const response = await commands.start(target, command, () => permit.isGranted() && permit.use())
   * permit.close()
   */
  static create (isPermitted: SendPermission): StartPermit {
    return new StartPermit(isPermitted)
  }

  get isExpired (): boolean {
    return this.state === 'expired'
  }

  /** Whether the start may still be written. */
  isGranted (): boolean {
    return !this.isExpired && this.isPermitted()
  }

  /** Records that the start is being written. */
  use (): true {
    this.state = 'written'
    return true
  }

  close (): void {
    clearTimeout(this.timer)
  }
}
