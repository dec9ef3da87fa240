import {type z} from 'zod';
import {createLease} from '../decide/orders/create-lease.js';
import {type Lease} from '../decide/orders/lease.js';
import {getOwnerRank} from '../decide/membership/get-owner-rank.js';
import {log} from '../observe/log.js';
import {type StorePosition} from '../object-store/store-position.js';
import {type LeaseStore} from '../object-store/lease-store.js';
import {type Clocks} from '../util/clocks.js';
import {describeFault} from '../util/describe-fault.js';
import {leaseValueSchema} from './lease-value.js';
import {type RolloutLease} from './rollout-lease.js';

/** Share of the lease time, from each renewal, in which the holder may send orders. */
const actingShare = 0.4;
/** Allowance for orders in flight when the holder's time to send orders ends, in milliseconds. */
const orderTransitMs = 300;
/** Number of renewals within the time in which the holder may send orders. */
const renewalsPerActingTime = 3;
/** Delay per rank before a host starts to read the lease, so that only a few hosts put load on the store. */
const delayPerRankMs = 600;
const maxRankDelayMs = 1800;
const observeIntervalMs = 600;
/** Hosts up to this rank (the first is 0) read the lease every `observeIntervalMs`; for the others the interval grows in proportion to their rank. */
const frequentObservers = 2;
/** Key by which hosts are ranked as candidates for the lease. */
const rankingKey = 'rollout';
/** Bound for the fencing tokens that a store which returns from an older copy has lost; the holder changes at most every few seconds. */
const maxLostTokens = 1000;

/** Value of the lease object in the store. */
type LeaseValue = Readonly<z.infer<typeof leaseValueSchema>>;

/** Dependencies of the roll-out lease. */
type RolloutLeaseOptions = {
	/** Name of this host. */
	readonly self: string;
	/** Id of this process; distinguishes two runs of one host. */
	readonly run: string;
	readonly store: LeaseStore;
	/** Returns the names of the other hosts that are alive. */
	readonly others: () => readonly string[];
	/** Lease time, in milliseconds; a challenger also waits for the time in which the holder may send orders and for `orderTransitMs`. */
	readonly leaseMs: number;
	readonly clocks: Clocks;
};

/**
Creates the lease under which one host at a time sends weight updates to engines. It is kept in the platform's store and is
acquired only while there are engines to update; the holder releases it once its last order is older than the lease time.
*/
export function createRolloutLease({self, run, store, others, leaseMs, clocks}: RolloutLeaseOptions): RolloutLease {
	/** All but the time for which this host holds the lease itself is a wait for others. */
	const now = clocks.monotonic;
	const actingMs = leaseMs * actingShare;
	// A holder that stops renewing sends its last order at most `actingMs` after its last renewal.
	const takeoverMs = leaseMs + actingMs + orderTransitMs;
	const createView = (): Lease => createLease(now(), {leaseMs: takeoverMs, marginMs: takeoverMs - actingMs});
	let lease = createView();
	let epoch = store.epoch();
	let lastOrderAt = Number.NEGATIVE_INFINITY;
	let renewedAt = Number.NEGATIVE_INFINITY;
	let observedAt = Number.NEGATIVE_INFINITY;
	let latestValue: LeaseValue | undefined;
	/** Where the lease was read or written last; `undefined` while it does not exist. */
	let position: StorePosition | undefined;
	/** Whether a write has got no response yet and so may have taken effect. */
	let isWriteUnconfirmed = false;
	let wasHolder = false;
	let renewals = 0;
	/** Token that an engine refused because it had seen a higher one. */
	let refusedToken = 0;

	const getToken = (): number | undefined => lease.fencing(clocks.suspendAware());

	const write = async (token: number, isReleased: boolean): Promise<void> => {
		const started = {held: clocks.suspendAware(), wait: now()};
		renewals++;
		const value = {
			holder: self, run, token, isReleased, renewals, epoch: epoch.number,
		};
		isWriteUnconfirmed = true;
		const object = await store.write(value, position);
		isWriteUnconfirmed = false;
		if (object?.epoch !== epoch.number) {
			log.info({holder: latestValue?.holder ?? ''}, 'lease was written by another host');
			lease.markLost();
			observedAt = Number.NEGATIVE_INFINITY;
			return;
		}

		latestValue = value;
		position = object;
		lease.recordRenewal(object.revision, token, started);
		renewedAt = started.wait;
		if (!wasHolder) {
			wasHolder = true;
			log.info({token, revision: object.revision}, 'lease taken');
		}
	};

	/** What was known of the lease does not hold in a later epoch, in which its revisions are given out again. */
	const updateEpoch = (): void => {
		const current = store.epoch();
		if (current.number !== epoch.number) {
			log.info({epoch: current.number, before: epoch.number, token: lease.latestFencingToken()}, 'lease is void in a new epoch of the store');
			lease = createView();
			wasHolder = false;
		}

		epoch = current;
	};

	/** How many epochs ago the lease was written. */
	const countMissedEpochs = (): number => epoch.number - (latestValue?.epoch ?? 0);

	/** A value that names no holder counts as one of unknown holder, whose token is above those known. */
	const decode = (value: unknown): LeaseValue => {
		const parsed = leaseValueSchema.safeParse(value);
		if (parsed.success) {
			return parsed.data;
		}

		log.warn({fault: describeFault(parsed.error)}, 'lease cannot be decoded, its holder is unknown');
		return {
			holder: '', run: '', token: lease.latestFencingToken() + maxLostTokens, isReleased: false, renewals: 0, epoch: epoch.number,
		};
	};

	const observe = async (): Promise<void> => {
		const object = await store.read();
		observedAt = now();
		updateEpoch();
		position = object;
		const before = latestValue;
		latestValue = object && decode(object.value);
		if (latestValue && (latestValue.holder !== before?.holder || latestValue.token !== before.token || latestValue.isReleased !== before.isReleased)) {
			log.info({holder: latestValue.holder, token: latestValue.token, isReleased: latestValue.isReleased}, 'lease read');
		}

		lease.observe(object?.revision ?? 0, latestValue?.token ?? 0, observedAt);
	};

	const renew = async (): Promise<void> => {
		if (now() - renewedAt > actingMs / renewalsPerActingTime) {
			await write(lease.latestFencingToken(), false);
		}
	};

	/**
	Returns the token to write: the present one if this process already holds the lease and no engine has refused it, else a higher one, also
	than those that the store has lost.
	*/
	const chooseToken = (): number => {
		const isMine = latestValue?.holder === self && latestValue.run === run && countMissedEpochs() === 0;
		const lowest = (latestValue?.token ?? 0) + 1 + (countMissedEpochs() * maxLostTokens);
		return isMine && latestValue!.token > refusedToken ? latestValue!.token : Math.max(lowest, refusedToken + 1);
	};

	/** A holder that the store has forgotten may act until its last renewal, which was before the return, expires. */
	const mayAcquire = (): boolean => {
		const at = now();
		if (countMissedEpochs() > 0) {
			return at - epoch.since > takeoverMs;
		}

		return latestValue === undefined || latestValue.holder === self || latestValue.isReleased || lease.canAcquire(at);
	};

	return {
		async acquireOrRenew(workSince) {
			const at = now();
			if (getToken() !== undefined) {
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
			if (mayAcquire()) {
				await write(chooseToken(), false);
			}
		},
		async renewOrRelease() {
			if (getToken() === undefined) {
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
		token: getToken,
		recordOrder() {
			lastOrderAt = now();
		},
		recordRefusedToken(token) {
			refusedToken = token;
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
