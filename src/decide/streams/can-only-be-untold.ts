/** A host that may have begun a stream, or may have been told of it. */
type PossibleWitness = {
	/** Whether it has been there, and in reach, since before the service had several versions. */
	readonly remembers: boolean;
};

/**
Returns whether a stream that no host knows can only have begun at a host that could tell no other one. Fault pattern: hosts that started again answer,
but know nothing of the time before. One such host may have been cut off alone; several may have told each other only.

@param hosts - All hosts that were heard while the stream may have begun, including this one.
*/
export function canOnlyBeUntold(hosts: readonly PossibleWitness[]): boolean {
	const remembering = hosts.filter(({remembers}) => remembers).length;
	return remembering > 0 && hosts.length - remembering <= 1;
}
