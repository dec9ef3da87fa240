import {logFailure} from '../observe/log-failure.js';
import {type Upstream} from '../forwarding/upstream.js';
import {shareRunning} from '../util/share-running.js';
import {sleep} from '../util/sleep.js';
import {type StartVerifier} from './start-verifier.js';
import {type UpstreamRegistry} from './upstream-registry.js';

/** No upstream ends and starts again within this time. */
const minRestartMs = 200;
/** An upstream that may have started again and does not say so is avoided for this long. */
const ejectMs = 300;
const pauseMs = 50;
const confirmTimeoutMs = 300;
/** After a longer wait, what a stream was placed by is out of date: the age of weights, loads, permits. */
const maxWaitMs = 50;

/** What an upstream says of its start: the one that it was taken for, another one, or nothing; or it can't be reached. */
type Finding = 'same' | 'other' | 'untold' | 'unreachable';

/** Dependencies of the verifier. */
type StartVerifierOptions = {
	readonly registry: Pick<UpstreamRegistry, 'contact' | 'recordStart' | 'ejectUntil'>;
	/** Returns the time since the store confirmed the list of upstreams, in milliseconds; `undefined` when it never did. */
	readonly confirmedAgeMs: () => number | undefined;
	/** Whether the list of upstreams was confirmed a short time ago. */
	readonly isInStep: () => boolean;
	/** Asks an upstream when it started. Throws when it does not respond. */
	readonly readStart: (id: string, address: string) => Promise<number | undefined>;
	/** Reads the list of upstreams from the store; returns whether the store responded within a time in milliseconds. */
	readonly confirmList: (timeoutMs: number) => Promise<boolean>;
	/** Returns whether the link to an upstream works; checks it first if it has carried nothing for a while. */
	readonly verifyLink: (id: string) => Promise<boolean>;
	/** Called after an upstream was found to be a start that the list does not show. */
	readonly onUnlisted: () => void;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/**
Creates the check that an upstream is the start that the list shows. Fault pattern: upstreams start again under their ids with another software
version, and the store can't say so. A start can't change under an open connection, so nobody is asked while one lives that was opened before the
last confirmation.
*/
export function createStartVerifier({registry, confirmedAgeMs, isInStep, readStart, confirmList, verifyLink, onUnlisted, now}: StartVerifierOptions): StartVerifier {
	const listConfirmedAt = (): number => now() - (confirmedAgeMs() ?? Number.POSITIVE_INFINITY);

	/** Whether contact with an upstream has broken since the list was confirmed. */
	const hasBroken = (id: string): boolean => (registry.contact(id)?.brokenAt ?? Number.NEGATIVE_INFINITY) > listConfirmedAt();

	/** After a break, only a stream that begins goes where the upstream has not said which start it is: nothing has come of it yet. */
	const isDoubtful = ({id, startedAt}: Upstream, mustMatch: boolean): boolean => {
		const contact = registry.contact(id);
		if (!contact || startedAt === undefined) {
			return false;
		}

		if (contact.brokenAt > Math.max(listConfirmedAt(), contact.askedAt, mustMatch ? Number.NEGATIVE_INFINITY : contact.untoldAt)) {
			return true;
		}

		// Without an idle connection, one is opened now.
		const openedAt = contact.hasIdle ? contact.openedAt : now();
		return openedAt > Math.max(listConfirmedAt(), contact.toldAt, contact.untoldAt) + minRestartMs && (mustMatch || !isInStep());
	};

	/** Requests that wait for the answer of an upstream share it. */
	const check = shareRunning(async (id: string, address: string): Promise<Finding> => {
		const askedAt = now();
		try {
			const startedAt = await readStart(id, address);
			if (!registry.recordStart(id, startedAt, askedAt)) {
				onUnlisted();
				return 'other';
			}

			return startedAt === undefined ? 'untold' : 'same';
		} catch (error) {
			logFailure(error, {upstream: id}, 'upstream does not say which start it is', 'info');
			registry.recordStart(id, undefined, askedAt);
			return await verifyLink(id) ? 'untold' : 'unreachable';
		}
	});

	/** Whether the list holds for an upstream that does not say which start it is. */
	const isListed = async ({id}: Upstream): Promise<boolean> => {
		if (!hasBroken(id) || await confirmList(confirmTimeoutMs)) {
			return true;
		}

		registry.ejectUntil(id, now() + ejectMs);
		await sleep(pauseMs);
		return false;
	};

	return async (upstream, mustMatch) => {
		if (!isDoubtful(upstream, mustMatch)) {
			return true;
		}

		const waitsSince = now();
		const finding = await check(upstream.id, upstream.address);
		const isVerified = finding === 'same' || (finding === 'untold' && (!mustMatch || await isListed(upstream)));
		return isVerified && now() - waitsSince <= maxWaitMs;
	};
}
