/**
What a check found about the start of an upstream that broke off a response. `down`: its address refuses connections. `gone`: it is no longer
registered. `up`: neither.
*/
export type CrashCheckResult = 'down' | 'gone' | 'up';
