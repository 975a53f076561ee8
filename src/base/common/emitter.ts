/**
 * Typed events: an owner fires them, others listen.
 *
 * @module
 */

import { createDisposable, type Disposable } from "./disposable.ts";

/** Registers a listener; disposing of the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

export interface Emitter<T> extends Disposable {
  readonly event: Event<T>;
  /** Calls every listener in the order of registration. */
  fire(value: T): void;
}

export function createEmitter<T>(): Emitter<T> {
  const listeners = new Set<(value: T) => void>();
  return {
    event(listener) {
      // A wrapper keeps two registrations of one function apart.
      const registered = (value: T) => listener(value);
      listeners.add(registered);
      return createDisposable(() => listeners.delete(registered));
    },
    fire(value) {
      for (const listener of [...listeners]) {
        listener(value);
      }
    },
    dispose() {
      listeners.clear();
    },
  };
}
