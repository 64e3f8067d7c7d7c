import type { CommandClient, ListResponse } from '../../ports/command-client.ts'
import type { TargetListing } from '../../workflow/target-entry.ts'
import { delay } from '../delay.ts'

const RETRY_DELAY_MS = 100

/**
 * Wraps a client whose listings are asked for again while they name a job that may still become known.
 *
 * @example
 * const commands = completeListings(permittedCommands, (listing) => lateJobs.mayBecomeKnown(listing))
 */
export function completeListings (commands: CommandClient, isIncomplete: (listing: TargetListing) => boolean): CommandClient {
  return {
    start: (target, command) => commands.start(target, command),
    stop: (target, command) => commands.stop(target, command),
    throttle: (target, command) => commands.throttle(target, command),
    list: async (target, request) => {
      let response: ListResponse = await commands.list(target, request)
      while (response.type === 'listed' && isIncomplete(response.listing)) {
        await delay(RETRY_DELAY_MS)
        response = await commands.list(target, { ...request, waitMs: 0 })
      }
      return response
    }
  }
}
