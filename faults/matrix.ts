import { createHash } from 'node:crypto'
import { CELLS, type Cell } from './cells.ts'
import { isRed, runInjections, type CellResult } from './run-cell.ts'

/** Default seed of the matrix. */
export const MATRIX_SEED = 20_261_204

export type CellOutcome = {
  readonly cell: Cell
  readonly result: CellResult
}

export type MatrixOptions = {
  readonly seed: number
  /** Runs only the cells whose name contains one of the words; all when empty. */
  readonly words: readonly string[]
  /** Runs part `shard` (from 1) of `shards`, so that several processes can share a run. */
  readonly shard: number
  readonly shards: number
  readonly onFinished: (outcome: CellOutcome) => void
}

/**
 * Runs the selected cells one after another.
 *
 * @example
 * runMatrix({ seed: 1, words: ['peer:submit'], shard: 1, shards: 1, finished: console.log })
 */
export function runMatrix (options: MatrixOptions): readonly CellOutcome[] {
  return selectCells(options).map((cell) => {
    const outcome = { cell, result: runInjections(options.seed, cell.injections) }
    options.onFinished(outcome)
    return outcome
  })
}

function selectCells ({ words, shard, shards }: MatrixOptions): readonly Cell[] {
  return CELLS
    .filter((cell) => words.length === 0 || words.some((word) => cell.name.includes(word)))
    .filter((_, index) => index % shards === shard - 1)
}

/** `red`: a guarantee was violated or too few requests succeeded. `not-reached`: the step did not occur, so the run proves nothing. */
export type CellState = 'green' | 'red' | 'not-reached'

/**
 * Returns the state of a cell after its run.
 *
 * @example
 * stateOf(outcome.result) // 'green'
 */
export function getCellState (result: CellResult): CellState {
  if (isRed(result)) return 'red'
  return result.reached ? 'green' : 'not-reached'
}

/**
 * Computes a hash of the history of a run. Two runs of a cell with the same seed have the same fingerprint.
 *
 * @example
 * fingerprintOf(runInjections(1, [])) === fingerprintOf(runInjections(1, []))
 */
export function computeFingerprint (result: CellResult): string {
  return createHash('sha256').update(JSON.stringify(result.history)).digest('hex').slice(0, 16)
}
