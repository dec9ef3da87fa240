/** An owner that did not answer is not asked for this long; each further miss in a row doubles it. */
const firstPauseMs = 200;
const maxPauseMs = 3200;

/** Which owners of ledgers are asked. Times are in milliseconds. */
type OwnerPauses = {
	readonly isPaused: (host: string, now: number) => boolean;
	readonly recordAnswer: (host: string) => void;
	/** @param askedAt - When the unanswered claim was sent. */
	readonly recordMiss: (host: string, askedAt: number, now: number) => void;
};

/** Creates the pauses in which an owner that did not answer is not asked. Fault pattern: a host that is frozen, cut off or of an earlier build. */
export function createOwnerPauses(): OwnerPauses {
	const misses = new Map<string, {readonly pauseMs: number; readonly at: number}>();
	return {
		isPaused(host, now) {
			const miss = misses.get(host);
			return miss !== undefined && now - miss.at < miss.pauseMs;
		},
		recordAnswer(host) {
			misses.delete(host);
		},
		recordMiss(host, askedAt, now) {
			const miss = misses.get(host);
			// Claims sent before the pause began miss together; they count once.
			if (!miss || askedAt >= miss.at) {
				misses.set(host, {pauseMs: miss ? Math.min(maxPauseMs, miss.pauseMs * 2) : firstPauseMs, at: now});
			}
		},
	};
}
