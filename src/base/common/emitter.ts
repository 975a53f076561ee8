/**
 * Typed events. The owner of an emitter fires an event; other code registers listeners.
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
      // The wrapper makes each registration unique, so that one function can be registered twice.
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
