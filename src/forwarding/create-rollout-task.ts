import {planRollout} from '../decide/orders/plan-rollout.js';
import {type RolloutEngine} from '../decide/orders/rollout-engine.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type EngineClient} from './engine-client.js';
import {type EngineReport} from './engine-report.js';
import {type DesiredWeights} from './desired-weights.js';
import {type RolloutLease} from './rollout-lease.js';
import {type UpstreamRegistry} from './upstream-registry.js';

const stepMs = 120;
const idleMs = 200;
const pollMs = 250;
/** An order that brought nothing is given again after this long. */
const againMs = 700;
const invalidMs = 1500;
/** How long reports tell of an engine's new weights. */
const newsMs = 3000;

/** An engine with an order under way. */
type Ordered = {
	readonly model: string;
	readonly version: number;
	nextAt: number;
	isAccepted: boolean;
};

/** What the roll-out needs. */
type RolloutTaskOptions = {
	readonly self: string;
	readonly lease: RolloutLease;
	readonly control: EngineClient;
	readonly book: UpstreamRegistry;
	readonly desiredWeights: () => readonly DesiredWeights[];
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
export function createRolloutTask({self, lease, control, book, desiredWeights, now}: RolloutTaskOptions): RolloutTask {
	const ordered = new Map<string, Ordered>();
	const news = new Map<string, {readonly model: string; readonly version: number; readonly at: number}>();
	let hasStopped = false;
	let workSince: number | undefined;

	const behind = (): ReadonlyArray<{readonly target: DesiredWeights; readonly engines: readonly RolloutEngine[]}> => desiredWeights().flatMap(target => {
		const upstreams = book.listAll().filter(upstream => upstream.weights.has(target.model) && !upstream.isLeaving);
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

	const noteReport = (id: string, report: EngineReport, target: DesiredWeights): void => {
		const version = report.weights.get(target.model);
		if (version !== undefined) {
			book.recordWeights(id, target.model, version);
		}

		if (version !== undefined && version >= target.version) {
			ordered.delete(id);
			news.set(id, {model: target.model, version, at: now()});
			log.info({upstream: id, model: target.model, version}, 'engine has the named weights');
		}
	};

	/** @returns When to look at the engine again, in milliseconds. */
	const tryOrder = async (id: string, address: string, target: DesiredWeights, entry: Ordered): Promise<number> => {
		const report = await control.report(address);
		noteReport(id, report, target);
		const token = lease.token();
		if (!ordered.has(id) || report.isBusy || token === undefined) {
			return pollMs;
		}

		lease.recordOrder();
		const answer = await control.order(address, id, {
			model: target.model, version: target.version, holder: self, token, expectedOrders: report.orders,
		});
		lease.recordOrder();
		log.info({
			upstream: id, model: target.model, version: target.version, token, answer,
		}, 'version ordered');
		if (answer === 'fenced') {
			lease.recordFenced(token);
		}

		entry.isAccepted = answer === 'accepted';
		return answer === 'invalid' ? invalidMs : pollMs;
	};

	const order = async (id: string, target: DesiredWeights): Promise<void> => {
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
					model: target.model, version: target.version, nextAt: 0, isAccepted: false,
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

	const step = async (): Promise<void> => {
		if (behind().length === 0) {
			workSince = undefined;
			ordered.clear();
			await lease.renewOrRelease();
			return;
		}

		workSince ??= now();
		await lease.acquireOrRenew(workSince);
		if (lease.token() === undefined) {
			ordered.clear();
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
				lease.recordStoreFailure();
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
