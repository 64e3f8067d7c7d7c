import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** One benchmark: measures, prints a readable table through `print`, and returns its figures for the JSON file. */
export type Benchmark = (print: (line: string) => void) => Promise<unknown>

/** Benchmarks by name; each is loaded only when it is run. */
const BENCHMARKS: Readonly<Record<string, () => Promise<Benchmark>>> = {
  scheduling: async () => (await import('./scheduling.ts')).benchScheduling,
  capacity: async () => (await import('./capacity.ts')).benchCapacity,
  platform: async () => (await import('./platform.ts')).benchPlatform,
  recovery: async () => (await import('./recovery.ts')).benchRecovery
}

const RESULTS = join(import.meta.dirname, 'results')

async function main (names: readonly string[]): Promise<void> {
  const chosen = names.length === 0 ? Object.keys(BENCHMARKS) : names
  for (const name of chosen) {
    const load = BENCHMARKS[name]
    if (load === undefined) {
      console.error(`unknown benchmark ${name}; known are: ${Object.keys(BENCHMARKS).join(', ')}`)
      process.exitCode = 1
      continue
    }
    const figures = await (await load())(console.log)
    mkdirSync(RESULTS, { recursive: true })
    writeFileSync(join(RESULTS, `${name}.json`), `${JSON.stringify(figures, null, 2)}\n`)
    console.log(`\nwritten: bench/results/${name}.json`)
  }
}

await main(process.argv.slice(2))
