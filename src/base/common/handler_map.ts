/**
 * Handlers by name, of which the newest registration counts.
 *
 * @module
 */

import { createDisposable, type Disposable } from "./disposable.ts";

/** Sets the handler of a name; disposing removes it unless it was replaced meanwhile. */
export function registerHandler<T>(
  handlers: Map<string, T>,
  name: string,
  handler: T,
): Disposable {
  handlers.set(name, handler);
  return createDisposable(() => {
    if (handlers.get(name) === handler) {
      handlers.delete(name);
    }
  });
}
