import {type PoisonVerdict} from './poison-verdict.js';

/** The decisions about requests that were in flight when an upstream crashed. */
export type PoisonRequestTracker = {
	/** A request was in flight at a crash, with others. */
	readonly suspect: (digest: string, now: number) => void;
	/** A suspect wants to run; one run of a digest at a time. */
	readonly begin: (digest: string, run: string, now: number) => PoisonVerdict;
	/** A run of a suspect ended; a second crash alone condemns it, a completed run clears it. */
	readonly end: (digest: string, run: string, crashed: boolean, now: number) => PoisonVerdict;
	/** A run that had leave did not take place. */
	readonly cancelRun: (digest: string, run: string) => void;
	/** Another host condemned the digest. */
	readonly condemn: (digest: string, now: number) => void;
	/** Another host saw a run of the digest complete. */
	readonly clear: (digest: string) => void;
	readonly isCondemned: (digest: string, now: number) => boolean;
	readonly isSuspect: (digest: string, now: number) => boolean;
};
