/**
 * Results that carry expected failures as values. Under Node, `ts-results` is a CommonJS module without named
 * imports, so this module exports its names for the whole project.
 *
 * @module
 */

import * as library from "ts-results";
import type { Result as LibraryResult } from "ts-results";

export type Result<T, E> = LibraryResult<T, E>;

// A bundle contains the ES module of the library, which has no default export.
const { default: tsResults = library } = library as unknown as {
  readonly default?: typeof library;
};

export const { Ok, Err } = tsResults;
