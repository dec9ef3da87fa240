import {type KnownHost} from '../reports/known-host.js';
import {sleep} from '../util/sleep.js';

const maxAsked = 4;
/** A host that starts does not wait for its peers for longer. */
const maxWaitMs = 500;

/** Dependencies of the confirmation. */
type PeerConfirmationOptions = {
	/** Returns the other hosts that can be asked. */
	readonly listHosts: () => ReadonlyArray<Pick<KnownHost, 'peers'>>;
	/** Takes from a host what it knows of stored objects beyond what is known here; resolves also if it does not answer. */
	readonly pull: (address: string) => Promise<void>;
	readonly random: () => number;
};

/** Whether a host that starts has asked others for stored objects that the store may have lost. */
type PeerConfirmation = {
	/** Asks others, the first time that it is called. */
	readonly start: () => void;
	/** Returns whether all that were asked have answered or had time to. */
	readonly hasAsked: () => boolean;
};

/**
Creates the confirmation of a host that starts. Fault pattern: the store came back from an older copy that lacks an entry, and the host has only the
store's list; the reports by which the others tell it may come after it is ready.
*/
export function createPeerConfirmation({listHosts, pull, random}: PeerConfirmationOptions): PeerConfirmation {
	let hasStarted = false;
	let hasAsked = false;

	return {
		start() {
			if (hasStarted) {
				return;
			}

			hasStarted = true;
			const asked = listHosts().map(host => ({host, draw: random()})).toSorted((a, b) => a.draw - b.draw).slice(0, maxAsked);
			void Promise.race([Promise.all(asked.map(async ({host}) => pull(host.peers))), sleep(maxWaitMs)]).then(() => {
				hasAsked = true;
			});
		},
		hasAsked: () => hasAsked,
	};
}
