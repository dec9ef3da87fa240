/** What a suspect request may do now. */
export type PoisonVerdict = 'run-alone' | 'wait' | 'condemned' | 'clear';
