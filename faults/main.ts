import { readFileSync, writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { MATRIX_SEED, runMatrix, getCellState, type CellOutcome } from './matrix.ts'
import { runRandomSchedules, type RandomOutcome } from './random-schedules.ts'
import { formatReport, createCellRow, type CellRow } from './report.ts'
import { describeViolation } from './run-cell.ts'

const USAGE = `npm run faults -- [WORD ...] [--seed N] [--shard I/N] [--trace]
npm run faults -- --random FAULTS [--seed N]
  WORD      runs only cells whose name contains it; docs/faults.md is written only when all cells run
  --seed    seed of the delays and the load
  --shard   runs part I of N
  --rows    writes the rows of the cells to a file, for --merge
  --merge   writes docs/faults.md from the files given instead of WORD
  --trace   prints the observations of each violation
  --random  runs random schedules with about FAULTS faults, and shrinks the first that fails`

const REPORT_FILE = 'docs/faults.md'

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { seed: { type: 'string' }, shard: { type: 'string' }, random: { type: 'string' }, trace: { type: 'boolean' }, rows: { type: 'string' }, merge: { type: 'boolean' }, help: { type: 'boolean' } }
})

const seed = values.seed === undefined ? MATRIX_SEED : Number(values.seed)
if (values.help === true || !Number.isInteger(seed)) {
  console.log(USAGE)
  process.exitCode = values.help === true ? 0 : 1
} else if (values.merge === true) {
  mergeCommand()
} else if (values.random !== undefined) {
  runRandomCommand(Number(values.random))
} else {
  runMatrixCommand()
}

function runMatrixCommand (): void {
  const startedAt = performance.now()
  const [shard = 1, shards = 1] = (values.shard ?? '1/1').split('/').map(Number)
  const outcomes = runMatrix({ seed, words: positionals, shard, shards, onFinished: printCell })
  const rows = outcomes.map(createCellRow)
  const red = rows.filter((row) => row.state === 'red').length
  const notReached = rows.filter((row) => row.state === 'not-reached').length
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1)
  console.log(`seed ${seed}: ${rows.length} cells, ${red} failures, ${notReached} not reached, ${seconds} s`)
  if (values.rows !== undefined) writeFileSync(values.rows, JSON.stringify(rows))
  if (positionals.length === 0 && shards === 1) writeFileSync(REPORT_FILE, formatReport(rows, seed))
  if (red > 0) process.exitCode = 1
}

/** Writes the report from the rows of a run that was divided among several processes. */
function mergeCommand (): void {
  const rows = positionals.flatMap((file) => JSON.parse(readFileSync(file, 'utf8')) as readonly CellRow[])
  writeFileSync(REPORT_FILE, formatReport(rows, seed))
  console.log(`${REPORT_FILE}: ${rows.length} cells`)
}

function printCell (outcome: CellOutcome): void {
  const state = getCellState(outcome.result)
  const { violations, succeeded } = outcome.result
  if (state === 'green') return
  const broken = [...new Set(violations.map((violation) => violation.guarantee))].join(',')
  console.log(`${state} ${outcome.cell.name}: ${violations.length} violations${broken === '' ? '' : ` of ${broken}`}, ${succeeded} results`)
  const shown = values.trace === true ? violations : []
  shown.slice(0, 5).forEach((violation) => console.log(describeViolation(violation)))
}

function runRandomCommand (faults: number): void {
  const startedAt = performance.now()
  const outcome = runRandomSchedules(faults, seed, () => {})
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1)
  printRandom(outcome, seconds)
}

function printRandom (outcome: RandomOutcome, seconds: string): void {
  if (outcome.type === 'passed') {
    console.log(`seed ${seed}: ${outcome.schedules} schedules with ${outcome.faults} faults, 0 failures, ${seconds} s`)
    return
  }
  const { schedule, result, shrinks, replay } = outcome
  console.log(`seed ${seed}, path ${replay}: failed, shrunk ${shrinks} times, ${seconds} s`)
  console.log(JSON.stringify(schedule, undefined, 2))
  console.log(`${result.violations.length} violations, ${result.succeeded} results`)
  result.violations.slice(0, 5).forEach((violation) => console.log(describeViolation(violation)))
  process.exitCode = 1
}
