import { FAULTS } from './fault-catalogue.ts'
import { groupBy } from './group-by.ts'
import { getCellState, type CellOutcome, type CellState } from './matrix.ts'
import { STEPS } from './steps.ts'

/** Result of one cell; `broken` lists the numbers of the violated guarantees. */
export type CellRow = { readonly name: string, readonly step: string, readonly shape: string, readonly state: CellState, readonly broken: readonly number[] }

/**
 * Creates the row of a finished cell.
 *
 * @example
 * rowOf(outcome).state // 'green'
 */
export function createCellRow ({ cell, result }: CellOutcome): CellRow {
  const broken = [...new Set(result.violations.map((violation) => violation.guarantee))].sort((left, right) => left - right)
  return { name: cell.name, step: cell.step.name, shape: cell.shape, state: getCellState(result), broken }
}

/**
 * Formats the page `docs/faults.md`.
 *
 * @example
 * formatReport(rows, 7)
 */
export function formatReport (rows: readonly CellRow[], seed: number): string {
  return [
    '# Fault matrix',
    '',
    'Written by `npm run faults`; do not edit. Each cell runs three members, twelve targets, the store and callers under',
    'virtual time, injects its faults at one step (a message type) and checks the eleven guarantees of the design page from',
    'what callers, targets, operators and the host list saw. A cell is `red` if a guarantee is broken or fewer than 50 requests',
    'got a result, and `not-reached` if its step did not occur, so that it proves nothing.',
    '',
    `Seed ${seed}: ${rows.length} cells, ${countState(rows, 'green')} green, ${countState(rows, 'red')} red, ${countState(rows, 'not-reached')} not reached.`,
    '',
    '## Faults',
    '',
    '| fault | what happens |',
    '|---|---|',
    ...Object.entries(FAULTS).map(([name, text]) => `| \`${name}\` | ${text} |`),
    '',
    '## Steps',
    '',
    '| step | cells | green | red | not reached |',
    '|---|---|---|---|---|',
    ...formatStepRows(rows),
    '',
    '## Red cells',
    '',
    ...formatRedCells(rows),
    ''
  ].join('\n')
}

function formatStepRows (rows: readonly CellRow[]): readonly string[] {
  const byStep = groupBy(rows, (row) => row.step)
  return STEPS.map(({ name }) => {
    const stepRows = byStep.get(name) ?? []
    return `| \`${name}\` | ${stepRows.length} | ${countState(stepRows, 'green')} | ${countState(stepRows, 'red')} | ${countState(stepRows, 'not-reached')} |`
  })
}

function formatRedCells (rows: readonly CellRow[]): readonly string[] {
  const red = rows.filter((row) => row.state === 'red')
  if (red.length === 0) return ['None.']
  const table = red.map((row) => `| \`${row.name}\` | ${row.broken.length === 0 ? 'too few results' : row.broken.join(', ')} |`)
  return ['| cell | broken guarantees |', '|---|---|', ...table]
}

function countState (rows: readonly CellRow[], state: CellState): number {
  return rows.filter((row) => row.state === state).length
}
