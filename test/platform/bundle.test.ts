import assert from 'node:assert/strict'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { ProcessMember } from '../../faults/processes/process-member.ts'
import { JsonServer } from '../../platform/standin/json-server.ts'
import { KvServer } from '../../platform/standin/kv-server.ts'
import { createMemberSettings, getCallerAddress } from '../../platform/standin/member-settings.ts'
import { StandinOperator } from '../../platform/standin/operator.ts'
import { TEXTS } from '../adapters/texts.ts'

const HOST = 'bundle.example'
const KEY = 'key-of-bundle'
const MEMBERS = 2
const DEADLINE_MS = 30_000
const POLL_INTERVAL_MS = 50
const WORKER_STARTED_AT_MS = 1_000

// The tests of the sources use the whole of each library, the bundle only parts of some.
test('bundle: guards against the failure that a worker is told to start another payload than a caller has sent', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'damaskfield-bundle-'))
  const bundle = join(folder, 'member.mjs')
  execFileSync(process.execPath, ['scripts/build-platform.mjs', bundle])
  const kv = await KvServer.listen()
  const started = new Map<string, string>()
  const worker = await JsonServer.listen(async ({ path, body }) => {
    const { task, spec } = body as { task?: string, spec?: string }
    if (path === '/run-start') started.set(task!, spec!)
    else await wait(POLL_INTERVAL_MS)
    return { status: 200, body: { clockMs: performance.now(), born: WORKER_STARTED_AT_MS, running: [...started.keys()].map((key) => [key, 1, '', 100]), ended: [] } }
  })
  StandinOperator.create(kv).configure({ version: 1, host: HOST, key: KEY, weight: 100, maxAttempts: 2, queues: [{ name: 'short', priority: 0 }] })
  kv.put('servers/w1', JSON.stringify({ service: 'kit', address: worker.address, zone: 'east', version: 'v1', taskSlots: 99, state: 'ready', coldRemainingMs: 0, capacity: { cpu: 64_000, memMb: 65_536, gpu: 0 }, labels: ['a', 'r1'], born: WORKER_STARTED_AT_MS, sequence: 1 }))
  const members = Array.from({ length: MEMBERS }, (_, index) => {
    const options = { name: `m${index}`, host: `127.1.${60 + index}.2`, failureDomain: 'east', storeAddress: kv.address, advisorAddress: kv.address, cores: 1 }
    const settings = join(folder, `${options.name}.json`)
    writeFileSync(settings, JSON.stringify(createMemberSettings(options)))
    return ProcessMember.spawn({ id: options.name, args: [bundle], variables: { DAMASKFIELD_SETTINGS: settings }, callerAddress: getCallerAddress(options) })
  })
  try {
    const sent = new Map<string, string>()
    // The first job shows that a member leads; it hears of the others from the members that have accepted them.
    for (const [index, text] of ['first', ...TEXTS.map((item) => item.text)].entries()) {
      for (const [member, { address }] of members.entries()) {
        const id = (index * MEMBERS + member).toString(16).padStart(16, '0')
        sent.set(`${id}.0.0.0`, text)
        await submit(`${address}/short/${id}`, { spec: text, steps: [{ count: 1, cpu: 500, memMb: 64, estimatedMs: 100 }] })
        const deadline = performance.now() + DEADLINE_MS
        while (started.size < sent.size && performance.now() < deadline) await wait(POLL_INTERVAL_MS)
      }
    }
    assert.deepEqual(Object.fromEntries([...started].sort()), Object.fromEntries([...sent].sort()))
  } finally {
    for (const member of members) member.signal('SIGKILL')
    await Promise.all(members.map((member) => member.waitForExit()))
    for (const server of [worker, kv]) server.close()
    rmSync(folder, { recursive: true, force: true })
  }
})

/** Submits a job, and waits until the member accepts jobs. */
async function submit (url: string, job: unknown): Promise<void> {
  const deadline = performance.now() + DEADLINE_MS
  while (performance.now() < deadline) {
    const status = await request(url, { method: 'POST', headers: { host: HOST, key: KEY, 'content-type': 'application/json' }, body: JSON.stringify(job) }).then(async ({ statusCode, body }) => {
      await body.dump()
      return statusCode
    }, () => 0)
    if (status === 200) return
    await wait(POLL_INTERVAL_MS)
  }
  assert.fail(`not accepted: ${url}`)
}
