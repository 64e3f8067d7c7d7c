import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { StandinCell } from '../../platform/standin/cell.ts'
import type { JsonRequest } from '../../platform/standin/json-server.ts'
import type { KvServer } from '../../platform/standin/kv-server.ts'
import { asJsonObject, asList } from '../../platform/json.ts'
import { COMMIT_KEY, LEADER_KEY, TARGETS_KEY, jobKey } from '../../src/controller/records/store-keys.ts'
import { STEP } from '../workflow/harness.ts'

const POLL_INTERVAL_MS = 20
const TIMEOUT_MS = 10_000
/** An address without a listener. */
const GONE_ADDRESS = '127.0.0.1:1'
const JOB = 'aaaaaaaaaaaaaaaa'

async function waitUntil (description: string, condition: () => boolean): Promise<void> {
  const deadline = Date.now() + TIMEOUT_MS
  while (!condition()) {
    if (Date.now() > deadline) assert.fail(`not fulfilled within ${TIMEOUT_MS} ms: ${description}`)
    await wait(POLL_INTERVAL_MS)
  }
}

function putJob (kv: KvServer): void {
  kv.put(jobKey(JOB), JSON.stringify({ id: JOB, queue: 'short', organisation: 'zuu', payload: '{"ms":50}', steps: [STEP], firstAtMs: 0, intervalMs: 0, occurrences: 1, submittedAtMs: Date.now() }))
}

/** Stores what a leader of term 1 leaves that cannot be reached: its job may run on a target that cannot be listed. */
function putEarlierTerm (kv: KvServer): void {
  kv.put(COMMIT_KEY, JSON.stringify({ term: 1, nonce: 'n-1', leader: { member: 'gone', address: GONE_ADDRESS } }))
  kv.put(TARGETS_KEY, JSON.stringify({ ids: ['w0', 'target-out-of-reach'] }))
  putJob(kv)
}

function readTerm (kv: KvServer, key: string): number {
  return asJsonObject(JSON.parse(kv.read(key) ?? '{}')).term as number | undefined ?? 0
}

function isClaim ({ path, body }: JsonRequest): boolean {
  return path === '/kv-txn' && asList(asJsonObject(body).puts).some((put) => asJsonObject(put).key === LEADER_KEY)
}

function isReadOfCommit ({ path, query }: JsonRequest): boolean {
  return path === '/kv-range' && query.get('prefix') === COMMIT_KEY
}

/** How long reads that would show that the claim was recorded are lost, whichever member sends them, in milliseconds. */
const LOST_READS_MS = 1_000

/** Loses the response to the first claim, and the reads after it. */
function loseFirstClaim (kv: KvServer): void {
  let responsesToLose = 1
  let losesReadsUntil = 0
  kv.disturbance = async (request, serve) => {
    if (responsesToLose > 0 && isClaim(request)) {
      responsesToLose -= 1
      losesReadsUntil = performance.now() + LOST_READS_MS
      await serve()
      return 'drop'
    }
    return isReadOfCommit(request) && performance.now() < losesReadsUntil ? 'drop' : serve()
  }
}

type Takeover = {
  readonly guards: string
  readonly members: number
  readonly disturb: (kv: KvServer) => void
  /** Causes further changes of the leader; the last one must lead afterwards. */
  readonly change: (cell: StandinCell) => Promise<void>
  readonly term: number
  /** How long nothing may start after that, in milliseconds; less than the earlier leader may still send commands. */
  readonly quietMs: number
}

const takeovers: readonly Takeover[] = [
  {
    guards: 'a member whose claim was recorded without its knowledge, and that claims again, takes itself for the earlier leader',
    members: 1,
    disturb: loseFirstClaim,
    change: async () => {},
    term: 3,
    quietMs: 2_500
  },
  {
    guards: 'a member takes another for the earlier leader whose claim was recorded without its knowledge',
    members: 2,
    disturb: loseFirstClaim,
    change: async () => {},
    term: 3,
    quietMs: 2_500
  },
  {
    guards: 'a leader that follows a short term forgets the leader before that term',
    members: 1,
    disturb: () => {},
    change: async (cell) => {
      await waitUntil('the first member leads', () => readTerm(cell.kv, LEADER_KEY) === 2)
      cell.stopMember(0).catch(() => {})
      await cell.addMember(2)
    },
    term: 3,
    quietMs: 5_500
  }
]

// A task runs twice if a new leader takes its run for ended while the leader that started it, or its target, goes on.
for (const { guards, members, disturb, change, term, quietMs } of takeovers) {
  test(`takeover: guards against the failure that ${guards}, and starts tasks again that still run`, async () => {
    const cell = await StandinCell.start({
      members,
      workers: 1,
      prepareStore: (kv) => {
        putEarlierTerm(kv)
        disturb(kv)
      }
    })
    try {
      await change(cell)
      await waitUntil(`term ${term} has a leader`, () => readTerm(cell.kv, LEADER_KEY) === term)
      await wait(quietMs)
      assert.deepEqual(cell.workers[0]!.starts, [])
    } finally {
      await cell.close()
    }
  })
}

// The successor of a leader that does not know that its lease has ended starts the same new job at once.
test('takeover: guards against the failure that a leader whose lease is not confirmed starts a job that it reads from the store, which its successor starts too', async () => {
  const cell = await StandinCell.start({ members: 1, workers: 1 })
  try {
    await waitUntil('the member leads', () => readTerm(cell.kv, LEADER_KEY) === 1)
    await wait(500)
    cell.kv.disturbance = async ({ path, query }, serve) => path.startsWith('/kv-keep') || query.get('prefix')?.startsWith('lead/') === true ? 'drop' : serve()
    await waitUntil('the lease has ended', () => cell.kv.read(LEADER_KEY) === undefined)
    putJob(cell.kv)
    await wait(2_000)
    assert.deepEqual(cell.workers[0]!.starts, [])
    cell.kv.disturbance = undefined
    await waitUntil('the job runs once a member leads again', () => cell.workers[0]!.starts.length === 1)
  } finally {
    await cell.close()
  }
})

// A job that was stored after the lease had ended may be running under the successor already.
test('takeover: guards against the failure that a leader whose lease has ended while it read the store starts a new job that it finds there, which its successor starts too', async () => {
  let jobsReadable = false
  const cell = await StandinCell.start({
    members: 1,
    workers: 1,
    prepareStore: (kv) => {
      kv.disturbance = async ({ path, query }, serve) => {
        const prefix = query.get('prefix') ?? ''
        const isLost = path.startsWith('/kv-keep') || (prefix.startsWith('lead/') && kv.read(LEADER_KEY) !== undefined) || (prefix.startsWith('lead/') && jobsReadable) || (prefix.startsWith('jobs/') && !jobsReadable)
        return isLost ? 'drop' : serve()
      }
    }
  })
  try {
    await waitUntil('the member leads', () => cell.kv.read(LEADER_KEY) !== undefined)
    jobsReadable = false
    // From here on the member neither renews its lease nor learns of its end.
    const { disturbance } = cell.kv
    cell.kv.disturbance = async (request, serve) => request.query.get('prefix')?.startsWith('lead/') === true ? 'drop' : disturbance!(request, serve)
    await waitUntil('the lease has ended', () => cell.kv.read(LEADER_KEY) === undefined)
    putJob(cell.kv)
    jobsReadable = true
    await wait(2_000)
    assert.equal(cell.kv.read(LEADER_KEY), undefined)
    assert.deepEqual(cell.workers[0]!.starts, [])
  } finally {
    await cell.close()
  }
})
