/**
 * Binary min-heap of distinct items whose numeric keys can be changed.
 *
 * @example
 * const heap = KeyedHeap.create<string>()
 * heap.set('a', 3)
 * heap.top() // 'a'
 */
export class KeyedHeap<Item> {
  private readonly items: Item[] = []
  private readonly keys: number[] = []
  private readonly positions = new Map<Item, number>()

  static create<Item> (): KeyedHeap<Item> {
    return new KeyedHeap<Item>()
  }

  get size (): number {
    return this.items.length
  }

  has (item: Item): boolean {
    return this.positions.has(item)
  }

  /** Returns the item with the smallest key. */
  top (): Item | undefined {
    return this.items[0]
  }

  /** Returns the smallest key, or infinity if the heap is empty. */
  topKey (): number {
    return this.keys[0] ?? Number.POSITIVE_INFINITY
  }

  /** Inserts the item, or changes its key. */
  set (item: Item, key: number): void {
    const position = this.positions.get(item)
    if (position === undefined) {
      this.place(this.items.length, item, key)
      this.siftUp(this.items.length - 1)
      return
    }
    const oldKey = this.keys[position]!
    if (oldKey === key) return
    this.keys[position] = key
    if (key < oldKey) this.siftUp(position)
    else this.siftDown(position)
  }

  /** Removes the item; returns false if it is not in the heap. */
  delete (item: Item): boolean {
    const position = this.positions.get(item)
    if (position === undefined) return false
    const last = this.items.length - 1
    this.swap(position, last)
    this.items.pop()
    this.keys.pop()
    this.positions.delete(item)
    if (position < last) {
      this.siftUp(position)
      this.siftDown(position)
    }
    return true
  }

  private place (position: number, item: Item, key: number): void {
    this.items[position] = item
    this.keys[position] = key
    this.positions.set(item, position)
  }

  private swap (left: number, right: number): void {
    if (left === right) return
    const item = this.items[left]!
    const key = this.keys[left]!
    this.place(left, this.items[right]!, this.keys[right]!)
    this.place(right, item, key)
  }

  private siftUp (from: number): void {
    let position = from
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (this.keys[parent]! <= this.keys[position]!) return
      this.swap(parent, position)
      position = parent
    }
  }

  private siftDown (from: number): void {
    let position = from
    for (;;) {
      const left = 2 * position + 1
      let smallest = position
      if (left < this.keys.length && this.keys[left]! < this.keys[smallest]!) smallest = left
      if (left + 1 < this.keys.length && this.keys[left + 1]! < this.keys[smallest]!) smallest = left + 1
      if (smallest === position) return
      this.swap(smallest, position)
      position = smallest
    }
  }
}
