import type { Change } from '../src/model/configuration.ts'
import type { Revision } from '../src/model/ids.ts'
import { filterByType, type History, type ObservationOf } from './history.ts'

/** A publication: the operator's request and, once received, its outcome. */
export type Publication = {
  readonly changes: readonly Change[]
  readonly asked: ObservationOf<'publication-asked'>
  readonly answered?: ObservationOf<'publication-answered'>
  /** Revision of an accepted publication. */
  readonly revision?: Revision
  /** Whether the publication was certainly refused. */
  readonly rejected: boolean
}

/** Collects the publications in the order of their requests. */
export function collectPublications (history: History): readonly Publication[] {
  const answers = new Map(filterByType(history, 'publication-answered').map((answered) => [answered.ask, answered]))
  return filterByType(history, 'publication-asked').map((asked) => {
    const answered = answers.get(asked.ask)
    const answer = answered?.answer
    return {
      changes: asked.changes,
      asked,
      answered,
      revision: answer?.type === 'accepted' ? answer.revision : undefined,
      rejected: answer?.type === 'rejected'
    }
  })
}

/** A publication that sets or removes one entry, with the new value; null for a removal. */
export type ValuePublication<Value> = Publication & { readonly value: Value | null }

/** The value of a change of one kind; removals are excluded. */
export type ChangeValue<Kind extends Change['kind']> = NonNullable<Extract<Change, { readonly kind: Kind }>['value']>

/**
 * Finds the publications that set or remove one entry, except those that were certainly refused.
 *
 * @example
 * publicationsFor(history, 'key', 'k1')
 */
export function findPublications<Kind extends Change['kind']> (history: History, kind: Kind, name: string): readonly ValuePublication<ChangeValue<Kind>>[] {
  return collectPublications(history).flatMap((publication) => {
    const change = publication.changes.findLast((candidate) => candidate.kind === kind && candidate.name === name)
    if (change === undefined || publication.rejected) return []
    return [{ ...publication, value: change.value as ChangeValue<Kind> | null }]
  })
}

/**
 * Returns the values of an entry that may be in force at a given time. A value is superseded once a publication with a
 * higher revision was accepted more than `graceMs` ago. A publication whose acceptance is unknown may be in force from its
 * request until a publication that was requested after its outcome was reported is in force.
 *
 * @example
 * possibleValues(publicationsFor(history, 'failureDomain', 'bole'), 20_000, 3_000)
 */
export function possibleValues<Value> (publications: readonly ValuePublication<Value>[], at: number, graceMs: number): readonly (Value | null)[] {
  const asked = publications.filter((publication) => publication.asked.at <= at)
  const inForce = asked.filter((publication) => publication.revision !== undefined && publication.answered!.at + graceMs < at)
  const newest = inForce.reduce<ValuePublication<Value> | undefined>((best, publication) => best === undefined || publication.revision! > best.revision! ? publication : best, undefined)
  if (newest === undefined) return [null, ...asked.map((publication) => publication.value)]
  return asked.filter((publication) => publication === newest || mayTakeEffectAfter(publication, newest)).map((publication) => publication.value)
}

function mayTakeEffectAfter<Value> (publication: ValuePublication<Value>, newest: ValuePublication<Value>): boolean {
  if (publication.revision !== undefined) return publication.revision > newest.revision!
  return publication.answered === undefined || publication.answered.at >= newest.asked.at
}
