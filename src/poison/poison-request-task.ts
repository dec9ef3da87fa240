import {type PoisonVerdict} from '../decide/poison/poison-verdict.js';
import {type IsolatedRunOutcome} from '../decide/poison/isolated-run-outcome.js';
import {type PeerHandlers} from '../peers/peer-handlers.js';

/** Tracks requests that may crash upstreams, by the digest of the request. */
export type PoisonRequestTask = {
	readonly isCondemned: (digest: string) => boolean;
	readonly isSuspect: (digest: string) => boolean;
	/** Marks a request as suspect that was in flight at a crash; resolves when the mark was pushed to the hosts of the region. */
	readonly suspect: (digest: string) => Promise<void>;
	/** Asks the digest's owner whether the suspect may run now, isolated from other requests; `runId` identifies this run. */
	readonly begin: (digest: string, runId: string) => Promise<PoisonVerdict>;
	/** Reports the outcome of an isolated run to the digest's owner. */
	readonly end: (digest: string, runId: string, outcome: IsolatedRunOutcome) => Promise<void>;
	readonly handlers: Pick<PeerHandlers, 'poison.begin' | 'poison.end'>;
};
