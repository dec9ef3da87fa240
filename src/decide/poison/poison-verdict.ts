/**
Whether a request may run. `run-alone`: only alone on an engine. `wait`: not while an isolated run of it is in progress.
`condemned`: not at all. `clear`: without restriction.
*/
export type PoisonVerdict = 'run-alone' | 'wait' | 'condemned' | 'clear';
