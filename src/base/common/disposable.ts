/**
 * Ownership of resources: the code that creates a {@linkcode Disposable} disposes of it.
 *
 * @module
 */

/** Holds a resource until `dispose` is called. Further calls of `dispose` have no effect. */
export interface Disposable {
  dispose(): void;
}

/** Owns disposables and disposes of them in reverse order of their addition. */
export interface DisposableStore extends Disposable {
  /** Adds a disposable, or disposes of it immediately when the store is already disposed. */
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
