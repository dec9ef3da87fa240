import {streamCopies} from './stream-copies.js';

/** A host that may have begun a stream, or may have been told of it. */
type PossibleWitness = {
	/** Whether it has answered, and has been there since before the stream began. */
	readonly remembers: boolean;
};

/**
Returns whether a stream that no host knows can only have begun at a host that could not tell enough other ones. Fault pattern: hosts that started again
answer, but know nothing of the time before, and others do not answer. A stream at another version than the oldest is known to one host more than
`streamCopies.fewest`, so that one of them remembers it if no more than that do not remember.

@param hosts - All hosts that were heard while the stream may have begun, including this one.
*/
export function canOnlyBeUntold(hosts: readonly PossibleWitness[]): boolean {
	const remembering = hosts.filter(({remembers}) => remembers).length;
	return remembering > 0 && hosts.length - remembering <= streamCopies.fewest(hosts.length);
}
