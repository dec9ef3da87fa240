import {createPoisonRequestTracker} from '../decide/poison/create-poison-request-tracker.js';
import {type IsolatedRunOutcome} from '../decide/poison/isolated-run-outcome.js';
import {type MembershipTask} from '../membership/membership-task.js';
import {type OwnerResolver} from '../membership/owner-resolver.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type PeerMethods} from '../peers/peer-methods.js';
import {type PoisonRequestTask} from './poison-request-task.js';

const gossipSection = 'poison';
const markTtlMs = 600_000;

/**
State of a request digest, as hosts publish it to each other. `suspect`: was in flight when an upstream crashed.
`condemned`: crashed an upstream in an isolated run. `clear`: completed an isolated run.
*/
type PoisonMark = {
	readonly state: 'suspect' | 'condemned' | 'clear';
};

/** Creates the task that tracks suspect and condemned requests and shares their state among the hosts of the region. */
export function createPoisonRequestTask(self: string, membership: MembershipTask, owners: OwnerResolver, call: PeerRpc): PoisonRequestTask {
	const tracker = createPoisonRequestTracker();

	// Published to the whole region at once, so that a caller's retry through another host is recognized.
	const publishMark = async (digest: string, state: PoisonMark['state']): Promise<void> =>
		membership.put(gossipSection, digest, {state}, {expiresAt: Date.now() + markTtlMs, scope: 'region'});

	membership.onEntries((name, entries) => {
		if (name !== gossipSection) {
			return;
		}

		for (const {id, value} of entries) {
			switch ((value as PoisonMark).state) {
				case 'suspect': {
					tracker.suspect(id, Date.now());
					break;
				}

				case 'condemned': {
					tracker.condemn(id, Date.now());
					break;
				}

				case 'clear': {
					tracker.clear(id);
					break;
				}
			}
		}
	});

	const beginLocally = (digest: string, runId: string): PeerMethods['poison.begin']['result'] =>
		({verdict: tracker.begin(digest, runId, Date.now())});

	const endLocally = (digest: string, runId: string, outcome: IsolatedRunOutcome): Readonly<Record<string, never>> => {
		if (outcome === 'not-run') {
			tracker.cancelRun(digest, runId);
			return {};
		}

		const crashed = outcome === 'crashed';
		const verdict = tracker.end(digest, runId, crashed, Date.now());
		if (verdict === 'condemned') {
			// The host that ran the request may have ended since.
			void publishMark(digest, 'condemned');
		} else if (verdict === 'clear' && !crashed) {
			void publishMark(digest, 'clear');
		}

		return {};
	};

	const ownerAddress = (digest: string): string | undefined => {
		const owner = owners.inRegion(`poison/${digest}`);
		return owner && owner.name !== self ? owner.peers : undefined;
	};

	return {
		isCondemned: digest => tracker.isCondemned(digest, Date.now()),
		isSuspect: digest => tracker.isSuspect(digest, Date.now()),
		async suspect(digest) {
			if (!tracker.isSuspect(digest, Date.now())) {
				await publishMark(digest, 'suspect');
			}
		},
		async begin(digest, runId) {
			const address = ownerAddress(digest);
			try {
				const {verdict} = address === undefined ? beginLocally(digest, runId) : await call(address, 'poison.begin', {digest, run: runId});
				// The owner may not have received the suspicion yet; this host's own record decides.
				return verdict === 'clear' ? beginLocally(digest, runId).verdict : verdict;
			} catch {
				return beginLocally(digest, runId).verdict;
			}
		},
		async end(digest, runId, outcome) {
			const address = ownerAddress(digest);
			try {
				await (address === undefined ? endLocally(digest, runId, outcome) : call(address, 'poison.end', {digest, run: runId, end: outcome}));
			} catch {
				endLocally(digest, runId, outcome);
			}

			// An owner that never heard of the first crash does not condemn the request.
			if (outcome === 'crashed') {
				await publishMark(digest, 'condemned');
			}
		},
		handlers: {
			'poison.begin': async ({digest, run}) => beginLocally(digest, run),
			'poison.end': async ({digest, run, end}) => endLocally(digest, run, end),
		},
	};
}
