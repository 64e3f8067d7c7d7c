import { DEPENDENCIES } from './composition.ts'
import { runProgram } from './program.ts'

/** Time for writing standard output before the process is forced to exit. */
const FORCED_EXIT_DELAY_MS = 1_000
const interruptController = new AbortController()
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => interruptController.abort())

const { stdin, stdout, stderr, env } = process
runProgram(process.argv.slice(2), { stdin, stdout, stderr, env, colorDepth: 1, dependencies: DEPENDENCIES, interruptSignal: interruptController.signal })
  .then((exitCode) => {
    process.exitCode = exitCode
    // A connection or server that is still open must not keep the process alive after the outcome is printed.
    setTimeout(() => process.exit(), FORCED_EXIT_DELAY_MS).unref()
  })
  .catch((error: unknown) => {
    stderr.write(`internal error: ${error instanceof Error ? error.stack : String(error)}\n`)
    process.exitCode = 1
  })
