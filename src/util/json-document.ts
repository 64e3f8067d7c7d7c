import { err, ok, type Result } from 'neverthrow'

/** Deeper values are refused, because the recursive scanner could exhaust the call stack otherwise. */
export const MAX_JSON_DEPTH = 64

/** A parsed JSON text with the line of each value. */
export type JsonDocument = {
  readonly value: unknown
  /** Line of each value by JSON pointer, counted from 1. */
  readonly lines: ReadonlyMap<string, number>
  /** Keys that occur more than once in one object; `JSON.parse` would silently keep the last one. */
  readonly duplicates: readonly { readonly pointer: string, readonly line: number, readonly firstLine: number }[]
}

/** The line at which a text is not valid JSON, with the text found there and a description of the text allowed there. */
export type JsonParseFailure = { readonly line: number, readonly found: string, readonly allowed: string }

/**
 * Parses JSON and records the line of each value and duplicate keys. It accepts the same texts as `JSON.parse`, up to the
 * maximum depth.
 *
 * @example
 * parseJsonDocument('{"a": 1}').map((document) => document.lines.get('/a')) // ok(1)
 */
export function parseJsonDocument (text: string): Result<JsonDocument, JsonParseFailure> {
  const scanner = new Scanner(text)
  try {
    scanner.scanDocument()
    return ok({ value: JSON.parse(text), lines: scanner.lines, duplicates: scanner.duplicates })
  } catch (error) {
    if (error instanceof JsonParseError) return err(error.failure)
    return err({ line: scanner.line, found: 'malformed JSON', allowed: 'JSON (RFC 8259)' })
  }
}

/**
 * Appends a segment to a JSON pointer (RFC 6901).
 *
 * @example
 * childPointer('/queues', 'a/b') // '/queues/a~1b'
 */
export function childPointer (pointer: string, segment: string | number): string {
  return `${pointer}/${String(segment).replaceAll('~', '~0').replaceAll('/', '~1')}`
}

class JsonParseError extends Error {
  constructor (readonly failure: JsonParseFailure) { super(failure.allowed) }
}

const NUMBER_PATTERN = /-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y
// eslint-disable-next-line no-control-regex -- JSON text must not contain unescaped control characters.
const STRING_PATTERN = /"(?:[^"\\\u0000-\u001f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*"/y
const LITERAL_PATTERN = /true|false|null/y

class Scanner {
  readonly lines = new Map<string, number>()
  readonly duplicates: { pointer: string, line: number, firstLine: number }[] = []
  line = 1
  private position = 0

  constructor (private readonly text: string) {}

  scanDocument (): void {
    this.scanValue('', 0)
    this.skipWhitespace()
    if (this.position < this.text.length) this.fail('the end of the text')
  }

  private scanValue (pointer: string, depth: number): void {
    this.skipWhitespace()
    this.lines.set(pointer, this.line)
    if (depth > MAX_JSON_DEPTH) this.fail(`at most ${MAX_JSON_DEPTH} levels`)
    switch (this.text[this.position]) {
      case '{': return this.scanObject(pointer, depth)
      case '[': return this.scanArray(pointer, depth)
      case '"': this.scanToken(STRING_PATTERN, 'text that ends with " on the same line and has valid escapes'); return
      case 't': case 'f': case 'n': this.scanToken(LITERAL_PATTERN, 'true, false or null'); return
      default: this.scanToken(NUMBER_PATTERN, 'a JSON value')
    }
  }

  private scanObject (pointer: string, depth: number): void {
    const firstLines = new Map<string, number>()
    this.position += 1
    if (this.consume('}')) return
    do {
      this.skipWhitespace()
      const line = this.line
      const name = JSON.parse(this.scanToken(STRING_PATTERN, 'a field name in double quotes')) as string
      const child = childPointer(pointer, name)
      const firstLine = firstLines.get(name)
      if (firstLine !== undefined) this.duplicates.push({ pointer: child, line, firstLine })
      else firstLines.set(name, line)
      if (!this.consume(':')) this.fail('":" after the field name')
      this.scanValue(child, depth + 1)
    } while (this.consume(','))
    if (!this.consume('}')) this.fail('"," or "}"')
  }

  private scanArray (pointer: string, depth: number): void {
    this.position += 1
    if (this.consume(']')) return
    let index = 0
    do {
      this.scanValue(childPointer(pointer, index), depth + 1)
      index += 1
    } while (this.consume(','))
    if (!this.consume(']')) this.fail('"," or "]"')
  }

  private consume (character: string): boolean {
    this.skipWhitespace()
    if (this.text[this.position] !== character) return false
    this.position += 1
    return true
  }

  private skipWhitespace (): void {
    for (;;) {
      const character = this.text[this.position]
      if (character === '\n') this.line += 1
      else if (character !== ' ' && character !== '\t' && character !== '\r') return
      this.position += 1
    }
  }

  private scanToken (pattern: RegExp, allowed: string): string {
    pattern.lastIndex = this.position
    const match = pattern.exec(this.text)
    if (match === null) return this.fail(allowed)
    this.position += match[0].length
    return match[0]
  }

  private fail (allowed: string): never {
    const rest = this.text.slice(this.position, this.position + 20)
    const found = rest === '' ? 'the end of the text' : JSON.stringify(rest)
    throw new JsonParseError({ line: this.line, found, allowed })
  }
}
