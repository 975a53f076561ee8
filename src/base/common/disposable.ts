/**
 * Ownership of resources: whoever creates a {@linkcode Disposable} disposes of it.
 *
 * @module
 */

/** Something that holds a resource until `dispose` is called. Disposing twice has no effect. */
export interface Disposable {
  dispose(): void;
}

/** Disposes of everything added to it, in reverse order of addition. */
export interface DisposableStore extends Disposable {
  /** Adds an owned disposable; disposes of it at once when the store is already disposed. */
  add<T extends Disposable>(disposable: T): T;
}

export function createDisposable(release: () => void): Disposable {
  let released = false;
  return {
    dispose() {
      if (!released) {
        released = true;
        release();
      }
    },
  };
}

export function createDisposableStore(): DisposableStore {
  const owned: Disposable[] = [];
  let disposed = false;
  return {
    add(disposable) {
      if (disposed) {
        disposable.dispose();
      } else {
        owned.push(disposable);
      }
      return disposable;
    },
    dispose() {
      disposed = true;
      while (owned.length > 0) {
        owned.pop()?.dispose();
      }
    },
  };
}
