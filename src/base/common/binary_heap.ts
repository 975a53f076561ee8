/**
 * A binary heap: a priority queue that removes the first element in order in logarithmic time.
 *
 * @module
 */

export interface BinaryHeap<T> {
  readonly size: number;
  push(element: T): void;
  /** The first element in order; undefined if the heap is empty. */
  peek(): T | undefined;
  /** Removes and returns the first element in order. */
  pop(): T | undefined;
}

/** Creates a heap. `compare` returns a negative number if the left element comes first. */
export function createBinaryHeap<T>(
  compare: (left: T, right: T) => number,
): BinaryHeap<T> {
  const elements: T[] = [];

  function moveUp(index: number): void {
    const element = elements[index];
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (compare(elements[parent], element) <= 0) {
        break;
      }
      elements[index] = elements[parent];
      index = parent;
    }
    elements[index] = element;
  }

  function moveDown(index: number): void {
    const element = elements[index];
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let first = left;
      if (
        right < elements.length && compare(elements[right], elements[left]) < 0
      ) {
        first = right;
      }
      if (
        first >= elements.length || compare(element, elements[first]) <= 0
      ) {
        break;
      }
      elements[index] = elements[first];
      index = first;
    }
    elements[index] = element;
  }

  return {
    get size() {
      return elements.length;
    },
    push(element) {
      elements.push(element);
      moveUp(elements.length - 1);
    },
    peek: () => elements[0],
    pop() {
      const first = elements[0];
      const last = elements.pop();
      if (elements.length > 0) {
        elements[0] = last!;
        moveDown(0);
      }
      return first;
    },
  };
}
