import {planRollout} from '../decide/orders/plan-rollout.js';
import {type RolloutEngine} from '../decide/orders/rollout-engine.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type EngineClient} from './engine-client.js';
import {type EngineReport} from './engine-report.js';
import {type DesiredWeights} from './desired-weights.js';
import {type RolloutLease} from './rollout-lease.js';
import {type UpstreamRegistry} from './upstream-registry.js';

const activeStepMs = 120;
const idleStepMs = 200;
const enginePollMs = 250;
/** An order that brought nothing is given again after this long. */
const failedOrderRetryMs = 700;
const invalidOrderRetryMs = 1500;
/** How long reports tell of an engine's new weights. */
const weightsReportMs = 3000;

/** An engine with an order under way. */
type PendingOrder = {
	readonly model: string;
	readonly version: number;
	nextAt: number;
	isAccepted: boolean;
};

/** What the roll-out needs. */
type RolloutTaskOptions = {
	readonly self: string;
	readonly lease: RolloutLease;
	readonly engineClient: EngineClient;
	readonly registry: UpstreamRegistry;
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
export function createRolloutTask({self, lease, engineClient, registry, desiredWeights, now}: RolloutTaskOptions): RolloutTask {
	const pendingOrders = new Map<string, PendingOrder>();
	const loadedWeights = new Map<string, {readonly model: string; readonly version: number; readonly at: number}>();
	let hasStopped = false;
	let workSince: number | undefined;

	const listIncomplete = (): ReadonlyArray<{readonly target: DesiredWeights; readonly engines: readonly RolloutEngine[]}> => desiredWeights().flatMap(target => {
		const upstreams = registry.listAll().filter(upstream => upstream.weights.has(target.model) && !upstream.isLeaving);
		if (upstreams.every(upstream => upstream.weights.get(target.model)! >= target.version)) {
			return [];
		}

		return [{
			target,
			engines: upstreams.map(upstream => ({
				id: upstream.id,
				version: upstream.weights.get(target.model)!,
				inFlight: registry.inFlight(upstream.id),
				isBusy: pendingOrders.has(upstream.id),
			})),
		}];
	});

	const recordReport = (id: string, report: EngineReport, target: DesiredWeights): void => {
		const version = report.weights.get(target.model);
		if (version !== undefined) {
			registry.recordWeights(id, target.model, version);
		}

		if (version !== undefined && version >= target.version) {
			pendingOrders.delete(id);
			loadedWeights.set(id, {model: target.model, version, at: now()});
			log.info({upstream: id, model: target.model, version}, 'engine has the named weights');
		}
	};

	/** @returns When to look at the engine again, in milliseconds. */
	const tryOrder = async (id: string, address: string, target: DesiredWeights, entry: PendingOrder): Promise<number> => {
		const report = await engineClient.report(address);
		recordReport(id, report, target);
		const token = lease.token();
		if (!pendingOrders.has(id) || report.isBusy || token === undefined) {
			return enginePollMs;
		}

		lease.recordOrder();
		const answer = await engineClient.order(address, id, {
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
		return answer === 'invalid' ? invalidOrderRetryMs : enginePollMs;
	};

	const processOrder = async (id: string, target: DesiredWeights): Promise<void> => {
		const upstream = registry.get(id);
		const entry = pendingOrders.get(id);
		if (!upstream || !entry) {
			pendingOrders.delete(id);
			return;
		}

		entry.nextAt = Number.POSITIVE_INFINITY;
		try {
			entry.nextAt = now() + await tryOrder(id, upstream.address, target, entry);
		} catch (error) {
			log.warn({upstream: id, version: target.version, error: String(error)}, 'order got no answer');
			entry.nextAt = now() + failedOrderRetryMs;
		}
	};

	const sendDueOrders = (): void => {
		for (const {target, engines} of listIncomplete()) {
			for (const id of planRollout(engines, target.version)) {
				pendingOrders.set(id, {
					model: target.model, version: target.version, nextAt: 0, isAccepted: false,
				});
			}

			for (const {id} of engines) {
				const entry = pendingOrders.get(id);
				if (entry && now() >= entry.nextAt) {
					void processOrder(id, target);
				}
			}
		}
	};

	const step = async (): Promise<void> => {
		if (listIncomplete().length === 0) {
			workSince = undefined;
			pendingOrders.clear();
			await lease.renewOrRelease();
			return;
		}

		workSince ??= now();
		await lease.acquireOrRenew(workSince);
		if (lease.token() === undefined) {
			pendingOrders.clear();
			return;
		}

		sendDueOrders();
	};

	const runLoop = async (): Promise<void> => {
		while (!hasStopped) {
			try {
				await step();
			} catch (error) {
				log.warn({error: String(error)}, 'lease can not be kept');
				lease.recordStoreFailure();
				await sleep(idleStepMs);
			}

			await sleep(workSince === undefined ? idleStepMs : activeStepMs);
		}
	};

	void runLoop();
	return {
		loading: () => [...pendingOrders].flatMap(([id, {model, version, isAccepted}]) => isAccepted ? [[id, model, version] as const] : []),
		news: () => [...loadedWeights].filter(([, entry]) => now() - entry.at < weightsReportMs).map(([id, {model, version}]) => [id, model, version] as const),
		stop() {
			hasStopped = true;
		},
	};
}
