import {createLease} from '../decide/orders/create-lease.js';
import {getOwnerRank} from '../decide/membership/get-owner-rank.js';
import {log} from '../observe/log.js';
import {type LeaseStore} from './lease-store.js';
import {type RolloutLease} from './rollout-lease.js';

/** The holder acts for this share of the lease's time after each renewal. */
const actingShare = 0.4;
/** A challenger allows this long for orders on their way. */
const orderTransitMs = 300;
const renewalsPerActingTime = 3;
/** Hosts further down the ranking begin later to read the lease, so that few do. */
const delayPerRankMs = 600;
const maxRankDelayMs = 1800;
const observeIntervalMs = 600;
/** Hosts up to this place in the ranking read the lease each `observeMs`, the others more rarely in proportion to their place. */
const frequentObservers = 2;
/** Ranks the hosts that may take the lease. */
const rankingKey = 'rollout';

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
	const takeoverMs = leaseMs + actingMs + orderTransitMs;
	const lease = createLease(now(), {leaseMs: takeoverMs, marginMs: takeoverMs - actingMs});
	let lastOrderAt = Number.NEGATIVE_INFINITY;
	let renewedAt = Number.NEGATIVE_INFINITY;
	let observedAt = Number.NEGATIVE_INFINITY;
	let latestValue: LeaseValue | undefined;
	/** Whether a write got no answer, and so may hold. */
	let isWriteUnconfirmed = false;
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
		isWriteUnconfirmed = true;
		const object = await store.write(value, lease.version());
		isWriteUnconfirmed = false;
		if (!object) {
			log.info({holder: latestValue?.holder ?? ''}, 'lease was written by another host');
			lease.markLost();
			observedAt = Number.NEGATIVE_INFINITY;
			return;
		}

		latestValue = value;
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
		latestValue = object?.value as LeaseValue | undefined;
		lease.observe(object?.revision ?? 0, latestValue?.token ?? 0, observedAt);
	};

	const renew = async (): Promise<void> => {
		if (now() - renewedAt > actingMs / renewalsPerActingTime) {
			await write(lease.latestFencingToken(), false);
		}
	};

	/** The token of a run that goes on stays; every other run gets a higher one. */
	const chooseToken = (): number => {
		const isMine = latestValue?.holder === self && latestValue.run === run;
		return isMine && latestValue!.token > fencedToken ? latestValue!.token : (latestValue?.token ?? 0) + 1;
	};

	return {
		async acquireOrRenew(workSince) {
			const at = now();
			if (lease.fencing(at) !== undefined) {
				await renew();
				return;
			}

			wasHolder = false;
			const rank = getOwnerRank(self, others(), rankingKey);
			const delayMs = latestValue?.holder === self ? 0 : Math.min(rank * delayPerRankMs, maxRankDelayMs);
			if (at - workSince < delayMs || at - observedAt < observeIntervalMs * Math.max(1, rank / frequentObservers)) {
				return;
			}

			observedAt = at;
			await observe();
			if (latestValue === undefined || latestValue.holder === self || latestValue.isReleased || lease.canAcquire(now())) {
				await write(chooseToken(), false);
			}
		},
		async renewOrRelease() {
			if (lease.fencing(now()) === undefined) {
				wasHolder = false;
			} else if (now() - lastOrderAt > leaseMs + orderTransitMs) {
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
			if (isWriteUnconfirmed) {
				isWriteUnconfirmed = false;
				observedAt = Number.NEGATIVE_INFINITY;
			}
		},
	};
}
