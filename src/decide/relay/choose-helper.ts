/** A host that may send requests on behalf of this one. */
type HelperCandidate<T> = {
	readonly host: T;
	readonly domain: string;
	/** Requests that this host has under way there. */
	readonly inFlight: number;
	/** Whether it is chosen only where there is no other. */
	readonly isAvoided: boolean;
};

/** A host of another failure domain is chosen once those of this one carry so many requests more. */
const remotePenalty = 8;

/**
Chooses the host that sends a request on behalf of this one, near ones first and spread over all. Load pattern: a host that is cut off hands on
all its requests at once.
*/
export function chooseHelper<T>(candidates: ReadonlyArray<HelperCandidate<T>>, domain: string, random: () => number): T | undefined {
	const remaining = candidates.some(({isAvoided}) => !isAvoided) ? candidates.filter(({isAvoided}) => !isAvoided) : candidates;
	const scored = remaining.map(candidate => ({
		candidate, score: candidate.inFlight + (candidate.domain === domain ? 0 : remotePenalty) + random(),
	}));
	return scored.toSorted((a, b) => a.score - b.score)[0]?.candidate.host;
}
