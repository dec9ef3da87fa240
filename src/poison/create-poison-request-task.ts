import {createPoisonRequestTracker} from '../decide/poison/create-poison-request-tracker.js';
import {type IsolatedRunOutcome} from '../decide/poison/isolated-run-outcome.js';
import {type MembershipTask} from '../membership/membership-task.js';
import {type OwnerResolver} from '../membership/owner-resolver.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type PeerMethods} from '../peers/peer-methods.js';
import {type PoisonRequestTask} from './poison-request-task.js';

const section = 'poison';
const keptMs = 600_000;

/** State of a digest as hosts tell each other. */
type PoisonMark = {
	readonly state: 'suspect' | 'condemned' | 'clear';
};

/** Creates the task that knows suspects and condemned requests. */
export function createPoisonRequestTask(self: string, membership: MembershipTask, owners: OwnerResolver, call: PeerRpc): PoisonRequestTask {
	const register = createPoisonRequestTracker();

	// Told to the whole region at once, so that a caller who sends again through another host finds it known.
	const tell = async (digest: string, state: PoisonMark['state']): Promise<void> =>
		membership.put(section, digest, {state}, {expiresAt: Date.now() + keptMs, scope: 'region'});

	membership.onEntries((name, entries) => {
		if (name !== section) {
			return;
		}

		for (const {id, value} of entries) {
			switch ((value as PoisonMark).state) {
				case 'suspect': {
					register.suspect(id, Date.now());
					break;
				}

				case 'condemned': {
					register.condemn(id, Date.now());
					break;
				}

				case 'clear': {
					register.clear(id);
					break;
				}
			}
		}
	});

	const beginHere = (digest: string, run: string): PeerMethods['poison.begin']['result'] =>
		({verdict: register.begin(digest, run, Date.now())});

	const endHere = (digest: string, run: string, end: IsolatedRunOutcome): Readonly<Record<string, never>> => {
		if (end === 'not-run') {
			register.cancelRun(digest, run);
			return {};
		}

		const crashed = end === 'crashed';
		const verdict = register.end(digest, run, crashed, Date.now());
		if (verdict === 'condemned') {
			void tell(digest, 'condemned');
		} else if (verdict === 'clear' && !crashed) {
			void tell(digest, 'clear');
		}

		return {};
	};

	const ownerAddress = (digest: string): string | undefined => {
		const owner = owners.inRegion(`poison/${digest}`);
		return owner && owner.name !== self ? owner.peers : undefined;
	};

	return {
		isCondemned: digest => register.isCondemned(digest, Date.now()),
		isSuspect: digest => register.isSuspect(digest, Date.now()),
		async suspect(digest) {
			if (!register.isSuspect(digest, Date.now())) {
				await tell(digest, 'suspect');
			}
		},
		async begin(digest, run) {
			const address = ownerAddress(digest);
			try {
				const {verdict} = address === undefined ? beginHere(digest, run) : await call(address, 'poison.begin', {digest, run});
				// The owner may not have heard of the suspicion yet.
				return verdict === 'clear' ? beginHere(digest, run).verdict : verdict;
			} catch {
				return beginHere(digest, run).verdict;
			}
		},
		async end(digest, run, end) {
			const address = ownerAddress(digest);
			try {
				await (address === undefined ? endHere(digest, run, end) : call(address, 'poison.end', {digest, run, end}));
			} catch {
				endHere(digest, run, end);
			}

			if (end === 'crashed') {
				register.condemn(digest, Date.now());
			}
		},
		handlers: {
			'poison.begin': async ({digest, run}) => beginHere(digest, run),
			'poison.end': async ({digest, run, end}) => endHere(digest, run, end),
		},
	};
}
