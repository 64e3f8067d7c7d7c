import { setTimeout as wait } from 'node:timers/promises'

/** Waits for the given time in milliseconds; resolves early, without an error, when the signal is aborted. */
export async function delay (ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) return
  try {
    await wait(ms, undefined, signal === undefined ? {} : { signal })
  } catch (error) {
    if (!(error instanceof Error) || error.name !== 'AbortError') throw error
  }
}
