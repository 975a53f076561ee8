/**
 * Expected failures as values. Under Node the library is a CommonJS module whose names cannot be
 * imported one by one, so this module does it for the whole project.
 *
 * @module
 */

import * as library from "ts-results";
import type { Result as LibraryResult } from "ts-results";

export type Result<T, E> = LibraryResult<T, E>;

// A bundle contains the library's ES module, which has no default export.
const { default: tsResults = library } = library as unknown as {
  readonly default?: typeof library;
};

export const { Ok, Err } = tsResults;
