/** A crash of an upstream as hosts report it to each other: digest of the request and id of the upstream. */
export type CrashReport = readonly [string, string];
