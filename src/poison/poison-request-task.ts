import {type PoisonVerdict} from '../decide/poison/poison-verdict.js';
import {type IsolatedRunOutcome} from '../decide/poison/isolated-run-outcome.js';
import {type PeerHandlers} from '../peers/peer-handlers.js';

/** What is known in the system of requests that may crash upstreams. */
export type PoisonRequestTask = {
	readonly isCondemned: (digest: string) => boolean;
	readonly isSuspect: (digest: string) => boolean;
	/** The request was in flight at a crash; ends when the hosts of the region have been told. */
	readonly suspect: (digest: string) => Promise<void>;
	/** Asks the digest's owner whether the suspect may run now, alone. */
	readonly begin: (digest: string, run: string) => Promise<PoisonVerdict>;
	readonly end: (digest: string, run: string, outcome: IsolatedRunOutcome) => Promise<void>;
	readonly handlers: Pick<PeerHandlers, 'poison.begin' | 'poison.end'>;
};
