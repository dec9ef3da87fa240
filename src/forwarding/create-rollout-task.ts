import {planRollout} from '../decide/orders/plan-rollout.js';
import {type RolloutEngine} from '../decide/orders/rollout-engine.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {sleepUntilTick} from '../util/sleep-until-tick.js';
import {sleep} from '../util/sleep.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {type EngineClient} from './engine-client.js';
import {type EngineReport} from './engine-report.js';
import {type DesiredWeights} from './desired-weights.js';
import {type OrderResult} from './order-result.js';
import {type RolloutLease} from './rollout-lease.js';
import {type UpdatePhase} from './update-phase.js';

/** Interval of the task while there are engines to update. */
const activeStepMs = 120;
/** Interval of the task while there are none, and pause after a failed call to the lease store. */
const idleStepMs = 200;
/** Interval at which an engine with a pending order is polled. */
const enginePollMs = 250;
/** An order that got no response is retried after this long. */
const failedOrderRetryMs = 700;
/** An order that the engine rejected as invalid is retried after this long. */
const invalidOrderRetryMs = 1500;
/** An order follows a report. */
const callsPerOrder = 2;
/** An engine gives up its place after this many calls that failed in a row; one that may be loading keeps it for longer. */
const maxFailures = {beforeOrder: 2, afterOrder: 12} as const;
/** For this long after it gave up its place, others come first. */
const unresponsiveMs = 5000;
/** Expected time of an update until one has been seen, as a share of the time that all of them have. */
const expectedUpdateShare = 0.2;
/** How long this host's reports include new weights that it found on an engine. */
const weightsReportMs = 3000;

/** A weight update of one engine that has not completed. */
type PendingOrder = {
	readonly model: string;
	readonly version: number;
	/** When the engine is polled next; infinite while a call to it is in flight. */
	nextAt: number;
	/** When the engine was chosen, and when it accepted the order; in milliseconds of the monotonic clock. */
	readonly plannedAt: number;
	acceptedAt: number | undefined;
	/** Whether an order was sent: the engine may be loading although it did not respond. */
	isOrdered: boolean;
	/** Calls to the engine that have failed in a row. */
	failures: number;
};

/** Dependencies of the roll-out task. */
type RolloutTaskOptions = {
	/** Name of this host. */
	readonly self: string;
	readonly lease: RolloutLease;
	readonly engineClient: EngineClient;
	readonly registry: UpstreamRegistry;
	/** Counts a call to an engine that states a limit on requests; returns the time that the limit leaves between two, in milliseconds. */
	readonly chargeCall: (upstreamId: string) => number;
	readonly desiredWeights: () => readonly DesiredWeights[];
	/** Returns for how long requests can still be sent to engines with a version of a model from any host, in milliseconds (`getUsableForMs`). */
	readonly getUsableForMs: (model: string, version: number) => number;
	/** Time after new desired weights are published from which no request may start on older ones, in milliseconds. */
	readonly versionMs: () => number;
	/** Called with the time that an update spent in each of its phases, in milliseconds. */
	readonly onPhase: (phase: UpdatePhase, tookMs: number) => void;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/** The task that rolls out weight versions. */
type RolloutTask = {
	/** Returns the engines that accepted this host's order to load weights: id, model and version. */
	readonly loading: () => ReadonlyArray<readonly [string, string, number]>;
	/** Returns the weights recently found on engines, to be reported to other hosts: id, model and version. */
	readonly news: () => ReadonlyArray<readonly [string, string, number]>;
	readonly stop: () => void;
};

/**
Starts the task that updates engines to the desired weights. One host at a time sends orders, under a lease in the platform's
store that is acquired only while there are engines to update.
*/
export function createRolloutTask({self, lease, engineClient, registry, chargeCall, desiredWeights, getUsableForMs, versionMs, onPhase, now}: RolloutTaskOptions): RolloutTask {
	const pendingOrders = new Map<string, PendingOrder>();
	const loadedWeights = new Map<string, {readonly model: string; readonly version: number; readonly at: number}>();
	let hasStopped = false;
	/** Since when there have been engines to update. */
	let workSince: number | undefined;
	/** Time that the last update of a model took, in milliseconds. */
	const updateMsByModel = new Map<string, number>();
	const unresponsiveUntil = new Map<string, number>();
	/** Whether this host held the lease in the last step. */
	let wasHolder = false;

	/** Lists the desired weights that some engine has not loaded, with all engines of the model. */
	const listIncomplete = (): ReadonlyArray<{readonly target: DesiredWeights; readonly engines: readonly RolloutEngine[]}> => desiredWeights().flatMap(target => {
		const upstreams = registry.listAll().filter(upstream => upstream.weights.has(target.model) && !upstream.isLeaving && !registry.announcements(upstream.id)?.isLeaving());
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
				usableForMs: getUsableForMs(target.model, upstream.weights.get(target.model)!),
				isUnresponsive: now() < (unresponsiveUntil.get(upstream.id) ?? Number.NEGATIVE_INFINITY),
			})),
		}];
	});

	const recordReport = (id: string, report: EngineReport, target: DesiredWeights): void => {
		const version = report.weights.get(target.model);
		if (version !== undefined) {
			registry.recordWeights(id, target.model, version);
		}

		if (version !== undefined && version >= target.version) {
			const entry = pendingOrders.get(id);
			pendingOrders.delete(id);
			loadedWeights.set(id, {model: target.model, version, at: now()});
			if (entry?.failures === 0) {
				updateMsByModel.set(target.model, now() - entry.plannedAt);
			}

			const loadMs = entry?.acceptedAt === undefined ? undefined : now() - entry.acceptedAt;
			if (loadMs !== undefined) {
				onPhase('load', loadMs);
			}

			log.info({
				upstream: id, model: target.model, version, sincePlannedMs: entry && Math.round(now() - entry.plannedAt), loadMs: loadMs && Math.round(loadMs),
			}, 'engine has the named weights');
		}
	};

	const recordAnswer = (entry: PendingOrder, answer: OrderResult): void => {
		entry.isOrdered = answer === 'accepted';
		if (!entry.isOrdered) {
			entry.acceptedAt = undefined;
			return;
		}

		entry.acceptedAt = now();
		onPhase('order', entry.acceptedAt - entry.plannedAt);
	};

	/**
	Polls an engine and, if it is idle and lacks the desired weights, sends it the order under the lease.

	@returns Time until the engine is to be polled again, in milliseconds.
	*/
	const tryOrder = async (id: string, address: string, target: DesiredWeights, entry: PendingOrder): Promise<number> => {
		const callPauseMs = chargeCall(id);
		const report = await engineClient.report(address);
		recordReport(id, report, target);
		const token = lease.token();
		if (!pendingOrders.has(id) || report.isBusy || token === undefined) {
			return Math.max(enginePollMs, callPauseMs);
		}

		lease.recordOrder();
		chargeCall(id);
		entry.isOrdered = true;
		const answer = await engineClient.order(address, id, {
			model: target.model, version: target.version, holder: self, token, expectedOrders: report.orders,
		});
		lease.recordOrder();
		log.info({
			upstream: id, model: target.model, version: target.version, token, answer, sincePlannedMs: Math.round(now() - entry.plannedAt),
		}, 'version ordered');
		if (answer === 'fenced') {
			lease.recordRefusedToken(token);
		}

		recordAnswer(entry, answer);
		return Math.max(answer === 'invalid' ? invalidOrderRetryMs : enginePollMs, callsPerOrder * callPauseMs);
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
			entry.failures = 0;
		} catch (error) {
			logFailure(error, {upstream: id, version: target.version}, 'weight update order failed');
			entry.nextAt = now() + failedOrderRetryMs;
			entry.failures++;
			if (entry.failures >= maxFailures[entry.isOrdered ? 'afterOrder' : 'beforeOrder']) {
				pendingOrders.delete(id);
				unresponsiveUntil.set(id, now() + unresponsiveMs);
			}
		}
	};

	const sendDueOrders = (): void => {
		for (const {target, engines} of listIncomplete()) {
			const updateMs = updateMsByModel.get(target.model) ?? versionMs() * expectedUpdateShare;
			for (const id of planRollout(engines, target.version, updateMs)) {
				log.info({
					upstream: id, model: target.model, version: target.version, pending: pendingOrders.size, updateMs: Math.round(updateMs),
					usableForMs: Math.round(engines.find(engine => engine.id === id)!.usableForMs!),
				}, 'engine is to load the named weights');
				pendingOrders.set(id, {
					model: target.model, version: target.version, nextAt: 0, plannedAt: now(), acceptedAt: undefined, isOrdered: false, failures: 0,
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

	const beginWork = (incomplete: ReturnType<typeof listIncomplete>): number => {
		for (const {target, engines} of incomplete) {
			log.info({
				model: target.model, version: target.version, upstreams: engines.length, behind: engines.filter(engine => engine.version < target.version).map(engine => engine.id),
			}, 'upstreams have older weights than the named ones');
		}

		return now();
	};

	const recordHolder = (isHolder: boolean, since: number): void => {
		if (isHolder && !wasHolder) {
			onPhase('lease', now() - since);
			log.info({afterMs: Math.round(now() - since)}, 'this host orders the named weights');
		}

		wasHolder = isHolder;
	};

	const step = async (): Promise<void> => {
		const incomplete = listIncomplete();
		if (incomplete.length === 0) {
			workSince = undefined;
			pendingOrders.clear();
			await lease.renewOrRelease();
			return;
		}

		workSince ??= beginWork(incomplete);
		await lease.acquireOrRenew(workSince);
		const isHolder = lease.token() !== undefined;
		recordHolder(isHolder, workSince);
		if (!isHolder) {
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
				logFailure(error, {}, 'lease cannot be read or written');
				lease.recordStoreFailure();
				await sleep(idleStepMs);
			}

			await (workSince === undefined ? sleepUntilTick(idleStepMs) : sleep(activeStepMs));
		}
	};

	void runLoop();
	return {
		loading: () => [...pendingOrders].flatMap(([id, {model, version, acceptedAt}]) => acceptedAt === undefined ? [] : [[id, model, version] as const]),
		news: () => [...loadedWeights].filter(([, entry]) => now() - entry.at < weightsReportMs).map(([id, {model, version}]) => [id, model, version] as const),
		stop() {
			hasStopped = true;
		},
	};
}
