/**
 * The types of names and identities by which objects refer to each other.
 *
 * @module
 */

export type HostName = string;
export type FailureDomainName = string;
export type CustomerName = string;
/** A client account of a mesh. */
export type AccountName = string;
export type ServiceName = string;
export type ServiceVersion = string;
export type RouteName = string;
/** Identifies a published record. Appending another record with the same identity has no effect. */
export type ChangeIdentity = string;

/** The log offset of the record that produced a configuration. */
export type ConfigurationVersion = number;

/** The version of the empty configuration, before any record was accepted. */
export const NO_VERSION: ConfigurationVersion = -1;
