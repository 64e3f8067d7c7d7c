import { setTimeout as wait } from 'node:timers/promises'
import { asJsonObject, asList, asString } from '../platform/json.ts'
import type { JsonRequest, JsonResponse } from '../platform/standin/json-server.ts'
import { withholdResponse } from '../platform/standin/kv-server.ts'
import type { KvDisturbance, KvRefusal } from '../platform/standin/kv-server.ts'
import { LEADER_KEY } from '../src/controller/records/store-keys.ts'
import type { LeaderRecord } from '../src/controller/records/store-keys.ts'
import { assertNever } from '../src/util/assert-never.ts'
import type { Random } from '../src/util/random.ts'
import type { SoakCell } from './soak-cell.ts'

/**
 * How the store fails while members claim the leadership. `claims-unanswered`: claims are applied, but neither their response
 * nor the following calls of the claimant are answered. `claims-late`: claims are applied late and not answered.
 * `writes-late`: some of all writing calls are applied seconds late, if they still can be, and not answered. `slow`: all
 * calls are answered late. `lossy`: some calls are refused, and some are applied and not answered. `refuses-some`: some
 * members are refused. `winners-killed`: members are killed soon after their claim was applied.
 */
export type StoreTrouble = 'claims-unanswered' | 'claims-late' | 'writes-late' | 'slow' | 'lossy' | 'refuses-some' | 'winners-killed'

export const STORE_TROUBLES: readonly StoreTrouble[] = ['claims-unanswered', 'claims-unanswered', 'claims-late', 'writes-late', 'writes-late', 'slow', 'lossy', 'refuses-some', 'winners-killed']

/** Bounds of the delay of a slow response. */
const SLOW_RESPONSE_MS = { min: 500, spread: 1_000 } as const
/** Bounds of the time for which a claimant gets no answers. Some last longer than the lease of a claim. */
const UNANSWERED_MS = { min: 300, spread: 2_500 } as const
/** How some members are refused. */
const REFUSALS: ReadonlyArray<KvRefusal | 'reset' | 'silent'> = [503, 429, 'reset', 'silent']
const MAX_UNANSWERED_CLAIMS = 2
const MAX_LATE_CLAIM_MS = 1_800
/** Bounds of the time after which a late write is applied. */
const LATE_WRITE_MS = { min: 1_000, spread: 5_000 } as const
const LATE_WRITES_RATIO = 0.35
const MAX_WINNER_LIFE_MS = 700
const REFUSED_CALLS_RATIO = 0.3
const LOST_RESPONSES_RATIO = 0.3

/** The parts of a cell that a trouble of the store needs. */
export type TroubledCell = Pick<SoakCell, 'kv' | 'members' | 'findMember' | 'restartMember' | 'countAsFault'>

/** Causes a trouble of the store and ends it after its duration. */
export async function troubleStore (cell: TroubledCell, trouble: StoreTrouble, forMs: number, random: Random): Promise<void> {
  if (trouble === 'refuses-some') return refuseSomeMembers(cell, forMs, random)
  const disturbance = createDisturbance(cell, trouble, random)
  cell.kv.disturbance = disturbance
  await wait(forMs)
  if (cell.kv.disturbance === disturbance) cell.kv.disturbance = undefined
}

function createDisturbance (cell: TroubledCell, trouble: Exclude<StoreTrouble, 'refuses-some'>, random: Random): KvDisturbance {
  let claimsLeft = 1 + random.nextInt(MAX_UNANSWERED_CLAIMS)
  switch (trouble) {
    case 'claims-unanswered': return async (request, serve) => {
      const response = await serve()
      const claimant = findClaimant(cell, request)
      if (claimant === undefined || response === 'drop' || response.status !== 200 || claimsLeft === 0) return response
      claimsLeft -= 1
      const state = random.next() < 0.5 ? 'reset' : 'silent'
      cell.countAsFault(disturbStoreLink(cell, claimant, state, UNANSWERED_MS.min + random.nextInt(UNANSWERED_MS.spread))).catch(() => {})
      return withholdResponse()
    }
    case 'claims-late': return async (request, serve) => {
      if (findClaimant(cell, request) === undefined) return serve()
      await cell.countAsFault(serveLate(serve, random.nextInt(MAX_LATE_CLAIM_MS)))
      return withholdResponse()
    }
    case 'writes-late': return async (request, serve) => {
      if (!isWrite(request) || random.next() >= LATE_WRITES_RATIO) return serve()
      await cell.countAsFault(serveLate(serve, LATE_WRITE_MS.min + random.nextInt(LATE_WRITE_MS.spread)))
      return withholdResponse()
    }
    case 'slow': return async (request, serve) => {
      const response = await serve()
      if (request.path !== '/kv-watch') await wait(SLOW_RESPONSE_MS.min + random.nextInt(SLOW_RESPONSE_MS.spread))
      return response
    }
    case 'lossy': return async (_request, serve) => {
      if (random.next() < REFUSED_CALLS_RATIO) return { status: 503 }
      const response = await serve()
      return random.next() < LOST_RESPONSES_RATIO ? withholdResponse() : response
    }
    case 'winners-killed': return async (request, serve) => {
      const response = await serve()
      const claimant = findClaimant(cell, request)
      if (claimant !== undefined) cell.countAsFault(killLater(cell, claimant, random.nextInt(MAX_WINNER_LIFE_MS))).catch(() => {})
      return response
    }
    default: return assertNever(trouble)
  }
}

/** Whether a call changes entries or leases. */
function isWrite ({ method }: JsonRequest): boolean {
  return method !== 'GET'
}

/** The member that claims the leadership with this call; undefined for any other call. */
function findClaimant (cell: TroubledCell, { path, body }: JsonRequest): number | undefined {
  if (path !== '/kv-txn') return undefined
  const claim = asList(asJsonObject(body).puts).map(asJsonObject).find(({ key }) => key === LEADER_KEY)
  if (claim === undefined) return undefined
  return cell.findMember((JSON.parse(Buffer.from(asString(claim.value) ?? '', 'base64').toString()) as LeaderRecord).member)
}

async function refuseSomeMembers (cell: TroubledCell, forMs: number, random: Random): Promise<void> {
  const members = cell.members.filter(() => random.next() < 0.5)
  for (const { storeLink, storeEndpoint } of members) {
    const refusal = REFUSALS[random.nextInt(REFUSALS.length)]!
    if (typeof refusal === 'number') storeEndpoint.refusal = refusal
    else storeLink.setState(refusal)
  }
  await wait(forMs)
  for (const { storeLink, storeEndpoint } of members) {
    storeEndpoint.refusal = undefined
    storeLink.setState('open')
  }
}

async function serveLate (serve: () => Promise<JsonResponse>, afterMs: number): Promise<void> {
  await wait(afterMs)
  await serve()
}

async function disturbStoreLink (cell: TroubledCell, member: number, state: 'reset' | 'silent', forMs: number): Promise<void> {
  const { storeLink } = cell.members[member]!
  storeLink.setState(state)
  await wait(forMs)
  storeLink.setState('open')
}

async function killLater (cell: TroubledCell, member: number, afterMs: number): Promise<void> {
  await wait(afterMs)
  await cell.restartMember(member, 'SIGKILL')
}
