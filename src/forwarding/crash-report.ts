/**
A crash of an upstream as hosts report it to each other: digest of the request, id of the upstream and its start in Unix milliseconds,
0 when that is unknown. An upstream may start again under its id.
*/
export type CrashReport = readonly [string, string, number];
