import bunyan from 'bunyan'
import type { LogEffect } from '../model/report.ts'
import { redactKeys } from '../util/team-key.ts'

/** Options of the logger. */
export type LoggerOptions = {
  readonly member: string
  readonly level: 'debug' | 'info' | 'warn' | 'error'
  /** Stream for the JSON lines. Default: standard output. */
  readonly stream?: NodeJS.WritableStream
}

/**
 * Writes log effects as bunyan JSON lines. Team keys are redacted in all texts, because an error message may contain one.
 *
 * @example
 * Logger.create({ member: 'entry-1', level: 'info' }).write({ type: 'log', level: 'info', message: 'group-acquired', fields: { group: 3 } })
 */
export class Logger {
  private constructor (private readonly log: bunyan) {}

  static create ({ member, level, stream = process.stdout }: LoggerOptions): Logger {
    return new Logger(bunyan.createLogger({ name: 'damaskfield', member, level, stream }))
  }

  write ({ level, message, fields }: Pick<LogEffect, 'level' | 'message' | 'fields'>): void {
    const clean = Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, typeof value === 'string' ? redactKeys(value) : value]))
    // The fields are nested because top-level fields would overwrite bunyan's own fields (`level`, `time`, `msg`).
    this.log[level]({ fields: clean }, '%s', redactKeys(message))
  }
}
