import {type PoisonVerdict} from './poison-verdict.js';

/** Tracks, by digest, requests that were in flight when an upstream crashed. Times are in milliseconds. */
export type PoisonRequestTracker = {
	/** Marks a request as suspect that was in flight, along with others, when an upstream crashed. */
	readonly suspect: (digest: string, now: number) => void;
	/** Decides whether a request may run; a suspect runs alone, and only one run of its digest at a time. */
	readonly begin: (digest: string, run: string, now: number) => PoisonVerdict;
	/** Ends an isolated run: a crash condemns the digest, a completed run clears it. */
	readonly end: (digest: string, run: string, crashed: boolean, now: number) => PoisonVerdict;
	/** Cancels a permitted run that did not take place, so that another one may begin. */
	readonly cancelRun: (digest: string, run: string) => void;
	/** Condemns the digest, for ten minutes or for `forMs`. */
	readonly condemn: (digest: string, now: number, forMs?: number) => void;
	/** Records that a run of the digest has completed at another host. */
	readonly clear: (digest: string) => void;
	readonly isCondemned: (digest: string, now: number) => boolean;
	/** Returns whether the digest is suspect or condemned. */
	readonly isSuspect: (digest: string, now: number) => boolean;
};
