import {createLease} from '../decide/orders/create-lease.js';
import {planRollout} from '../decide/orders/plan-rollout.js';
import {type RolloutEngine} from '../decide/orders/rollout-engine.js';
import {rankOwners} from '../decide/membership/rank-owners.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type EngineControl} from './engine-control.js';
import {type EngineReport} from './engine-report.js';
import {type LeaseStore} from './lease-store.js';
import {type NamedWeights} from './named-weights.js';
import {type UpstreamBook} from './upstream-book.js';

const stepMs = 120;
const idleMs = 200;
const pollMs = 250;
/** An order that brought nothing is given again after this long. */
const againMs = 700;
const invalidMs = 1500;
/** How long reports tell of an engine's new weights. */
const newsMs = 3000;
/** The holder acts for this share of the lease's time after each renewal. */
const actingShare = 0.4;
/** A challenger allows this long for orders on their way. */
const transitMs = 300;
const renewsPerActing = 3;
/** Hosts further down the ranking begin later to read the lease, so that few do. */
const rankDelayMs = 600;
const longestRankDelayMs = 1800;
const observeMs = 600;
/** Ranks the hosts that may take the lease. */
const leaseName = 'rollout';

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
	readonly renewals?: number;
};

/** An engine with an order under way. */
type Ordered = {
	readonly model: string;
	readonly version: number;
	readonly since: number;
	nextAt: number;
	isAccepted: boolean;
};

/** What the roll-out needs. */
type RolloutOptions = {
	readonly self: string;
	/** Tells this run of the host from others. */
	readonly run: string;
	readonly store: LeaseStore;
	readonly control: EngineControl;
	readonly book: UpstreamBook;
	readonly named: () => readonly NamedWeights[];
	/** Names of the hosts that are alive, this one not included. */
	readonly others: () => readonly string[];
	/** Time after which a lease that was not renewed may be taken over. */
	readonly leaseMs: number;
	readonly now: () => number;
};

/** The running roll-out of weight versions. */
type RolloutTask = {
	/** Engines that this host has ordered to load: id, model and version. */
	readonly loading: () => ReadonlyArray<readonly [string, string, number]>;
	/** Weights that engines were found to have lately: id, model and version. */
	readonly news: () => ReadonlyArray<readonly [string, string, number]>;
	readonly stop: () => void;
};

/**
Starts the task that brings engines to the weights that the operator names. One host at a time gives orders, under a lease
in the platform's store that is taken only while there is something to order.
*/
export function createRolloutTask(options: RolloutOptions): RolloutTask {
	const {self, run, store, control, book, named, others, leaseMs, now} = options;
	const actingMs = leaseMs * actingShare;
	// The last order of a silent holder is at most `actingMs` after its last renewal.
	const takeMs = leaseMs + actingMs + transitMs;
	const lease = createLease(now(), {leaseMs: takeMs, marginMs: takeMs - actingMs});
	const ordered = new Map<string, Ordered>();
	const news = new Map<string, {readonly model: string; readonly version: number; readonly at: number}>();
	let hasStopped = false;
	let workSince: number | undefined;
	let lastOrderAt = Number.NEGATIVE_INFINITY;
	let renewedAt = Number.NEGATIVE_INFINITY;
	let observedAt = Number.NEGATIVE_INFINITY;
	let seen: LeaseValue | undefined;
	let wasHolder = false;
	let renewals = 0;
	/** Token that an engine refused because it had seen a higher one. */
	let fencedToken = 0;

	const isMine = (): boolean => seen?.holder === self && seen.run === run;

	const behind = (): ReadonlyArray<{readonly target: NamedWeights; readonly engines: readonly RolloutEngine[]}> => named().flatMap(target => {
		const upstreams = book.all().filter(upstream => upstream.weights.has(target.model) && !upstream.isLeaving);
		if (upstreams.every(upstream => upstream.weights.get(target.model)! >= target.version)) {
			return [];
		}

		return [{
			target,
			engines: upstreams.map(upstream => ({
				id: upstream.id,
				version: upstream.weights.get(target.model)!,
				inFlight: book.inFlight(upstream.id),
				isBusy: ordered.has(upstream.id),
			})),
		}];
	});

	const write = async (value: LeaseValue): Promise<void> => {
		const startedAt = now();
		renewals++;
		const object = await store.write({...value, renewals}, lease.version());
		if (!object) {
			log.info({holder: seen?.holder ?? ''}, 'lease was written by another host');
			lease.lose();
			observedAt = Number.NEGATIVE_INFINITY;
			return;
		}

		seen = value;
		lease.renewed(object.revision, value.token, startedAt);
		renewedAt = startedAt;
		if (!wasHolder) {
			wasHolder = true;
			log.info({token: value.token, revision: object.revision}, 'lease taken');
		}
	};

	const observe = async (): Promise<void> => {
		const object = await store.read();
		observedAt = now();
		seen = object?.value as LeaseValue | undefined;
		lease.observe(object?.revision ?? 0, seen?.token ?? 0, observedAt);
	};

	/** Takes or renews the lease, if that may be done now. */
	const holdLease = async (): Promise<void> => {
		const at = now();
		if (lease.fencing(at) !== undefined) {
			if (at - renewedAt > actingMs / renewsPerActing) {
				await write({
					holder: self, run, token: lease.newestFencing(), isReleased: false,
				});
			}

			return;
		}

		const rank = rankOwners([self, ...others()], leaseName).indexOf(self);
		const delayMs = seen?.holder === self ? 0 : Math.min(rank * rankDelayMs, longestRankDelayMs);
		if (at - (workSince ?? at) < delayMs || at - observedAt < observeMs) {
			return;
		}

		await observe();
		const canTake = seen === undefined || seen.holder === self || seen.isReleased || lease.canTake(now());
		if (canTake) {
			// The token of a run that goes on stays; every other run gets a higher one.
			await write({
				holder: self, run, token: isMine() && seen!.token > fencedToken ? seen!.token : (seen?.token ?? 0) + 1, isReleased: false,
			});
		}
	};

	const noteReport = (id: string, report: EngineReport, target: NamedWeights): void => {
		const version = report.weights.get(target.model);
		if (version !== undefined) {
			book.noteWeights(id, target.model, version);
		}

		if (version !== undefined && version >= target.version) {
			ordered.delete(id);
			news.set(id, {model: target.model, version, at: now()});
			log.info({upstream: id, model: target.model, version}, 'engine has the named weights');
		}
	};

	/** @returns When to look at the engine again, in milliseconds. */
	const tryOrder = async (id: string, address: string, target: NamedWeights, entry: Ordered): Promise<number> => {
		const report = await control.report(address);
		noteReport(id, report, target);
		const token = lease.fencing(now());
		if (!ordered.has(id) || report.isBusy || token === undefined) {
			return pollMs;
		}

		lastOrderAt = now();
		const answer = await control.order(address, id, {
			model: target.model, version: target.version, holder: self, token, expectedOrders: report.orders,
		});
		lastOrderAt = now();
		log.info({
			upstream: id, model: target.model, version: target.version, token, answer,
		}, 'version ordered');
		if (answer === 'fenced') {
			fencedToken = token;
			lease.lose();
		}

		entry.isAccepted = answer === 'accepted';
		return answer === 'invalid' ? invalidMs : pollMs;
	};

	const order = async (id: string, target: NamedWeights): Promise<void> => {
		const upstream = book.get(id);
		const entry = ordered.get(id);
		if (!upstream || !entry) {
			ordered.delete(id);
			return;
		}

		entry.nextAt = Number.POSITIVE_INFINITY;
		try {
			entry.nextAt = now() + await tryOrder(id, upstream.address, target, entry);
		} catch (error) {
			log.warn({upstream: id, version: target.version, error: String(error)}, 'order got no answer');
			entry.nextAt = now() + againMs;
		}
	};

	const giveOrders = (): void => {
		for (const {target, engines} of behind()) {
			for (const id of planRollout(engines, target.version)) {
				ordered.set(id, {
					model: target.model, version: target.version, since: now(), nextAt: 0, isAccepted: false,
				});
			}

			for (const {id} of engines) {
				const entry = ordered.get(id);
				if (entry && now() >= entry.nextAt) {
					void order(id, target);
				}
			}
		}
	};

	const release = async (): Promise<void> => {
		if (lease.fencing(now()) === undefined) {
			wasHolder = false;
		} else if (now() - lastOrderAt > leaseMs + transitMs) {
			await write({
				holder: self, run, token: lease.newestFencing(), isReleased: true,
			});
			lease.lose();
			wasHolder = false;
			log.info({}, 'lease released');
		} else if (now() - renewedAt > actingMs / renewsPerActing) {
			await write({
				holder: self, run, token: lease.newestFencing(), isReleased: false,
			});
		}
	};

	const step = async (): Promise<void> => {
		if (behind().length === 0) {
			workSince = undefined;
			ordered.clear();
			if (wasHolder) {
				await release();
			}

			return;
		}

		workSince ??= now();
		await holdLease();
		if (lease.fencing(now()) === undefined) {
			ordered.clear();
			wasHolder = false;
			return;
		}

		giveOrders();
	};

	const keepStepping = async (): Promise<void> => {
		while (!hasStopped) {
			try {
				await step();
			} catch (error) {
				log.warn({error: String(error)}, 'lease can not be kept');
				observedAt = Number.NEGATIVE_INFINITY;
				await sleep(idleMs);
			}

			await sleep(workSince === undefined ? idleMs : stepMs);
		}
	};

	void keepStepping();
	return {
		loading: () => [...ordered].flatMap(([id, {model, version, isAccepted}]) => isAccepted ? [[id, model, version] as const] : []),
		news: () => [...news].filter(([, entry]) => now() - entry.at < newsMs).map(([id, {model, version}]) => [id, model, version] as const),
		stop() {
			hasStopped = true;
		},
	};
}
