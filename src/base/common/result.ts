/**
 * Expected failures as values. The library is a CommonJS module whose names Node cannot
 * import one by one, so this module does it for the whole project.
 *
 * @module
 */

import tsResults from "ts-results";
import type { Result as LibraryResult } from "ts-results";

export type Result<T, E> = LibraryResult<T, E>;

export const { Ok, Err } = tsResults;
