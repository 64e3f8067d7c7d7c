import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { assertProperty } from '../properties/assert-property.ts'
import { parseJsonDocument } from '../../src/util/json-document.ts'

function isAcceptedByJsonParse (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    return false
  }
}

test('parseJsonDocument: accepts exactly the texts that JSON.parse accepts', () => {
  const tokens = fc.array(fc.constantFrom('{', '}', '[', ']', '"a"', '"\\u00e9"', '"\\x"', ':', ',', '-', '01', '1.5', '1.', '2e9', ' ', '\t', '\n', '\ufeff', 'null', 'nul', '"')).map((list) => list.join(''))
  assertProperty(fc.property(fc.oneof(tokens, fc.json(), fc.string()), (text) => {
    assert.equal(parseJsonDocument(text).isOk(), isAcceptedByJsonParse(text))
  }), { numRuns: 2000 })
})

test('parseJsonDocument: slashes and tildes in names are escaped in pointers', () => {
  const document = parseJsonDocument('{"a/b":\n{"~": 1}}')._unsafeUnwrap()
  assert.deepEqual([...document.lines], [['', 1], ['/a~1b', 2], ['/a~1b/~0', 2]])
})
