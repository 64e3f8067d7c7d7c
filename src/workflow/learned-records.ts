/**
 * Records of what the owner has learned, which the next owner goes on with. Each is stored as a text of its own. A record that
 * is lost or unreadable costs quality only.
 */
export const LEARNED_RECORDS = ['past-use', 'run-times'] as const

/** Name of such a record. */
export type LearnedRecord = (typeof LEARNED_RECORDS)[number]
