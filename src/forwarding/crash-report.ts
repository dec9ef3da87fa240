/** What hosts tell each other of a crash: the request's digest and the upstream's id. */
export type CrashReport = readonly [string, string];
