/**
 * A registry of handlers by name, in which a later registration replaces an earlier one.
 *
 * @module
 */

import { createDisposable, type Disposable } from "./disposable.ts";

/** Sets the handler of a name. Disposing of the result removes it unless it has been replaced. */
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
