import { spawn, type ChildProcess } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

export type ProcessMemberOptions = {
  readonly id: string
  readonly bundle: string
  readonly folder: string
  readonly settings: unknown
  readonly callerPort: number
}

/** Command of a process: arguments of node, additional environment variables and a handler of its standard output. */
export type ProcessCommand = {
  readonly id: string
  readonly args: readonly string[]
  readonly variables?: Readonly<Record<string, string>>
  readonly callerAddress: string
  readonly onOutput?: (chunk: Buffer) => void
}

/** A member that runs as a separate process. */
export class ProcessMember {
  private readonly exitCode: Promise<number | null>
  private standardErrorText = ''
  private hasExited = false

  private constructor (readonly id: string, private readonly child: ChildProcess, readonly address: string, onOutput: ProcessCommand['onOutput']) {
    this.exitCode = new Promise((resolve) => child.once('exit', (code) => {
      this.hasExited = true
      resolve(code)
    }))
    child.stderr?.on('data', (chunk: Buffer) => { this.standardErrorText += chunk.toString() })
    if (onOutput === undefined) child.stdout?.resume()
    else child.stdout?.on('data', onOutput)
  }

  /**
   * Starts `damaskfield serve` with the given settings.
   *
   * @example
   * const member = ProcessMember.start(options)
   */
  static start (options: ProcessMemberOptions): ProcessMember {
    const file = join(options.folder, `${options.id}.settings.json`)
    writeFileSync(file, JSON.stringify(options.settings))
    return ProcessMember.spawn({ id: options.id, args: [options.bundle, 'serve', file], callerAddress: `http://127.0.0.1:${options.callerPort}` })
  }

  /**
   * Starts node with the given arguments.
   *
   * @example
   * ProcessMember.run({ id: 'm1', args: ['target/damaskfield-platform.mjs'], variables: { DAMASKFIELD_SETTINGS: file }, callerAddress })
   */
  static spawn ({ id, args, variables = {}, callerAddress, onOutput }: ProcessCommand): ProcessMember {
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, ...variables } })
    return new ProcessMember(id, child, callerAddress, onOutput)
  }

  get pid (): number { return this.child.pid ?? 0 }
  get isRunning (): boolean { return !this.hasExited }
  get standardError (): string { return this.standardErrorText }

  /** Sends a signal to this process only. */
  signal (name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM' | 'SIGHUP' | 'SIGUSR2'): void {
    if (!this.hasExited) this.child.kill(name)
  }

  /** Waits until the process exits and returns its exit code. */
  async waitForExit (): Promise<number | null> {
    return await this.exitCode
  }
}
