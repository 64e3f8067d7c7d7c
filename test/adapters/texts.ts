/** More characters than decoders of UTF-8 read one by one. */
const LONG = 'felt motif '.repeat(30)

/** Texts that a codec may change. */
export const TEXTS: ReadonlyArray<{ readonly name: string, readonly text: string }> = [
  { name: 'a long text with a byte order mark at its start', text: `\ufeff${LONG}` },
  { name: 'a short text with a byte order mark at its start', text: '\ufeffa' },
  { name: 'a long text that ends with an unpaired surrogate', text: `${LONG}\ud83e` },
  { name: 'a short text with an unpaired surrogate', text: 'a\udc00b' },
  { name: 'control characters, line separators and a null character', text: `\u0000\u001b\u2028\u2029\r\n\t"\\${LONG}` },
  { name: 'characters outside the basic plane, and combining ones', text: `\u{1f9f5}\u{10ffff}e\u0301\u1200${LONG}` },
  { name: 'a text that looks like an escape', text: '\\ud83e \\u0000 %EF%BB%BF' }
]
