/**
 * Groups the items by key. The keys are in the order of their first items.
 *
 * @example
 * groupBy(['a', 'bb', 'c'], (text) => text.length).get(1) // ['a', 'c']
 */
export function groupBy<Item, Key> (items: readonly Item[], keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> {
  const groups = new Map<Key, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
