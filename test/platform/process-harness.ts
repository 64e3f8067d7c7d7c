import { mkdtempSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { once } from 'node:events'
import { setTimeout as wait } from 'node:timers/promises'
import { ProcessMember } from '../../faults/processes/process-member.ts'
import { KvServer } from '../../platform/standin/kv-server.ts'
import { createMemberSettings, getCallerAddress, getReadinessAddress } from '../../platform/standin/member-settings.ts'
import { StandinOperator } from '../../platform/standin/operator.ts'

const HOST = 'stop.example'
const KEY = 'key-of-stop'
const GRACE_S = 6
const READY_TIMEOUT_MS = 30_000
const READY_POLL_INTERVAL_MS = 50

/** One member process with a stand-in for the store, for tests of signals. */
export class MemberProcess {
  private constructor (readonly process: ProcessMember, readonly kv: KvServer, readonly settingsPath: string, readonly callers: URL, private readonly readinessUrl: string) {}

  /**
   * Starts the process; `octet` is the third of its loopback address 127.1.x.2, which differs between concurrent tests. The test can
   * write the settings itself, to a path that it has prepared, set environment variables, and fill the store before.
   */
  static async start (octet: number, writeSettings: (path: string, text: string) => void = writeFileSync, variables: Readonly<Record<string, string>> = {}, fillStore: (kv: KvServer) => void = () => {}): Promise<MemberProcess> {
    const kv = await KvServer.listen()
    fillStore(kv)
    StandinOperator.create(kv).configure({ version: 1, host: HOST, key: KEY, weight: 100, maxAttempts: 2, queues: [{ name: 'short', priority: 0 }] })
    const options = { name: 'm1', host: `127.1.${octet}.2`, failureDomain: 'east', storeAddress: kv.address, advisorAddress: kv.address, cores: 1 }
    const settings = { ...createMemberSettings(options) as object, bounds: { maxHoldMs: 6_000, graceS: GRACE_S } }
    const settingsPath = join(mkdtempSync(join(tmpdir(), 'damaskfield-signals-')), 'settings.json')
    writeSettings(settingsPath, JSON.stringify(settings))
    const process = ProcessMember.spawn({ id: options.name, args: ['--import', 'tsx', 'platform/main.ts'], variables: { ...variables, DAMASKFIELD_SETTINGS: settingsPath }, callerAddress: getCallerAddress(options) })
    return new MemberProcess(process, kv, settingsPath, new URL(getCallerAddress(options)), getReadinessAddress(options))
  }

  /** Waits until the member accepts callers. */
  async waitUntilReady (): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS
    while (!await this.isReady()) {
      if (performance.now() > deadline || !this.process.isRunning) throw new Error(`not ready: ${this.process.standardError}`)
      await wait(READY_POLL_INTERVAL_MS)
    }
  }

  /** Opens a connection for callers. */
  async connect (): Promise<Socket> {
    const socket = connect(Number(this.callers.port), this.callers.hostname)
    await once(socket, 'connect')
    return socket
  }

  async close (): Promise<void> {
    this.process.signal('SIGKILL')
    await this.process.waitForExit()
    this.kv.close()
  }

  private async isReady (): Promise<boolean> {
    return fetch(this.readinessUrl).then(({ status }) => status === 200, () => false)
  }
}

/** Sends the query of a job's state and returns the status line, or how the connection ended without a response. */
export async function queryState (socket: Socket): Promise<string> {
  const received = once(socket, 'data') as Promise<[Buffer]>
  const ended = new Promise<string>((resolve) => {
    socket.once('error', (error) => resolve(String(error)))
    socket.once('close', () => resolve('closed without a response'))
  })
  socket.write(`GET /short/00000000000000a1 HTTP/1.1\r\nHost: ${HOST}\r\nKey: ${KEY}\r\n\r\n`)
  return Promise.race([received.then(([bytes]) => bytes.toString().split('\r\n')[0]!, String), ended])
}
