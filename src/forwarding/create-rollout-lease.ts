import {createLease} from '../decide/orders/create-lease.js';
import {getOwnerRank} from '../decide/membership/get-owner-rank.js';
import {log} from '../observe/log.js';
import {type LeaseStore} from './lease-store.js';
import {type RolloutLease} from './rollout-lease.js';

/** The holder acts for this share of the lease's time after each renewal. */
const actingShare = 0.4;
/** A challenger allows this long for orders on their way. */
const transitMs = 300;
const renewsPerActing = 3;
/** Hosts further down the ranking begin later to read the lease, so that few do. */
const rankDelayMs = 600;
const longestRankDelayMs = 1800;
const observeMs = 600;
/** Hosts up to this place in the ranking read the lease each `observeMs`, the others more rarely in proportion to their place. */
const observers = 2;
/** Ranks the hosts that may take the lease. */
const rankedFor = 'rollout';

/** The lease object's value. */
type LeaseValue = {
	/** Name of the holder's host. */
	readonly holder: string;
	/** Tells two runs of one host apart. */
	readonly run: string;
	readonly token: number;
	/** Whether the holder has given its last order a whole lease ago. */
	readonly isReleased: boolean;
	/** Counts the holder's writes: an unchanged value would not change the object's revision. */
	readonly renewals: number;
};

/** What the lease needs. */
type RolloutLeaseOptions = {
	readonly self: string;
	/** Tells this run of the host from others. */
	readonly run: string;
	readonly store: LeaseStore;
	/** Names of the hosts that are alive, this one not included. */
	readonly others: () => readonly string[];
	/** Time after which a lease that was not renewed may be taken over. */
	readonly leaseMs: number;
	/** Clock in milliseconds that counts suspensions. */
	readonly now: () => number;
};

/**
Creates the lease under which one host at a time orders engines. It lies in the platform's store and is taken only while there
is something to order; the holder gives it back once its last order lies a whole lease back.
*/
export function createRolloutLease({self, run, store, others, leaseMs, now}: RolloutLeaseOptions): RolloutLease {
	const actingMs = leaseMs * actingShare;
	// The last order of a silent holder is at most `actingMs` after its last renewal.
	const takeMs = leaseMs + actingMs + transitMs;
	const lease = createLease(now(), {leaseMs: takeMs, marginMs: takeMs - actingMs});
	let lastOrderAt = Number.NEGATIVE_INFINITY;
	let renewedAt = Number.NEGATIVE_INFINITY;
	let observedAt = Number.NEGATIVE_INFINITY;
	let seen: LeaseValue | undefined;
	/** Whether a write got no answer, and so may hold. */
	let isWriteOpen = false;
	let wasHolder = false;
	let renewals = 0;
	/** Token that an engine refused because it had seen a higher one. */
	let fencedToken = 0;

	const write = async (token: number, isReleased: boolean): Promise<void> => {
		const startedAt = now();
		renewals++;
		const value = {
			holder: self, run, token, isReleased, renewals,
		};
		isWriteOpen = true;
		const object = await store.write(value, lease.version());
		isWriteOpen = false;
		if (!object) {
			log.info({holder: seen?.holder ?? ''}, 'lease was written by another host');
			lease.markLost();
			observedAt = Number.NEGATIVE_INFINITY;
			return;
		}

		seen = value;
		lease.recordRenewal(object.revision, token, startedAt);
		renewedAt = startedAt;
		if (!wasHolder) {
			wasHolder = true;
			log.info({token, revision: object.revision}, 'lease taken');
		}
	};

	const observe = async (): Promise<void> => {
		const object = await store.read();
		observedAt = now();
		seen = object?.value as LeaseValue | undefined;
		lease.observe(object?.revision ?? 0, seen?.token ?? 0, observedAt);
	};

	const renew = async (): Promise<void> => {
		if (now() - renewedAt > actingMs / renewsPerActing) {
			await write(lease.latestFencingToken(), false);
		}
	};

	/** The token of a run that goes on stays; every other run gets a higher one. */
	const chooseToken = (): number => {
		const isMine = seen?.holder === self && seen.run === run;
		return isMine && seen!.token > fencedToken ? seen!.token : (seen?.token ?? 0) + 1;
	};

	return {
		async acquireOrRenew(workSince) {
			const at = now();
			if (lease.fencing(at) !== undefined) {
				await renew();
				return;
			}

			wasHolder = false;
			const rank = getOwnerRank(self, others(), rankedFor);
			const delayMs = seen?.holder === self ? 0 : Math.min(rank * rankDelayMs, longestRankDelayMs);
			if (at - workSince < delayMs || at - observedAt < observeMs * Math.max(1, rank / observers)) {
				return;
			}

			observedAt = at;
			await observe();
			if (seen === undefined || seen.holder === self || seen.isReleased || lease.canAcquire(now())) {
				await write(chooseToken(), false);
			}
		},
		async renewOrRelease() {
			if (lease.fencing(now()) === undefined) {
				wasHolder = false;
			} else if (now() - lastOrderAt > leaseMs + transitMs) {
				await write(lease.latestFencingToken(), true);
				lease.markLost();
				wasHolder = false;
				log.info({}, 'lease released');
			} else {
				await renew();
			}
		},
		token: () => lease.fencing(now()),
		recordOrder() {
			lastOrderAt = now();
		},
		recordFenced(token) {
			fencedToken = token;
			lease.markLost();
		},
		recordStoreFailure() {
			if (isWriteOpen) {
				isWriteOpen = false;
				observedAt = Number.NEGATIVE_INFINITY;
			}
		},
	};
}
