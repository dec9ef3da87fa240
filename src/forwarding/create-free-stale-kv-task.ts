import {canFreeStaleKv} from '../decide/kv-cache/can-free-stale-kv.js';
import {parseScope} from '../decide/kv-cache/parse-scope.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {sleepUntilTick} from '../util/sleep-until-tick.js';
import {type KnownHost} from '../reports/known-host.js';
import {type HostStatus} from '../reports/host-status.js';
import {type KvStore} from './kv-store.js';
import {type EngineClient} from './engine-client.js';
import {type DesiredWeights} from './desired-weights.js';

const intervalMs = 500;
const partsPerCall = 200;
/** Least time between two rounds of freeing in one store; by then its events show what the previous round freed. */
const minFreeIntervalMs = 1500;

/** Options of `createFreeStaleKvTask`. */
type FreeStaleKvTaskOptions = {
	readonly engineClient: EngineClient;
	readonly stores: () => readonly KvStore[];
	/** Whether this host polls a store; the host that polls a store also frees its stale parts. */
	readonly isPoller: (store: string) => boolean;
	/** Returns all desired weights seen so far, oldest first. */
	readonly desiredWeightsHistory: () => readonly DesiredWeights[];
	/** Kind of the stored objects that hold the desired weights. */
	readonly weightsKind: string;
	/** Reads the registered hosts from the object store; lists all others that are or were registered. */
	readonly listHosts: () => Promise<readonly KnownHost[]>;
	/** Monotonic clock in milliseconds: others may still read what is to be freed (`Clocks`). */
	readonly now: () => number;
};

/** Frees the KV cache of stale weights in the managed stores. */
type FreeStaleKvTask = {
	/** Records which desired weights another host has received. */
	readonly recordStatus: (status: HostStatus) => void;
	readonly stop: () => void;
};

/** Starts the task that frees the stored KV cache of stale weights once no host reads it any more. */
export function createFreeStaleKvTask({
	engineClient, stores, isPoller, desiredWeightsHistory, weightsKind, listHosts, now,
}: FreeStaleKvTaskOptions): FreeStaleKvTask {
	/** When each host first reported that it has received desired weights, by their content version and host. */
	const ackedAtByVersion = new Map<number, Map<string, number>>();
	/** When this task first saw desired weights, by their content version. */
	const seenAtByVersion = new Map<number, number>();
	const freedAt = new Map<string, number>();
	let hasStopped = false;

	const listStaleParts = (store: KvStore, weights: DesiredWeights) => store.partIndex.listParts().filter(({scope}) => {
		const parsedScope = parseScope(scope);
		return parsedScope?.model === weights.model && parsedScope.version < weights.version;
	});

	/** @returns When this task first saw the weights. */
	const recordSeen = ({contentVersion}: DesiredWeights): number => {
		const seenAt = seenAtByVersion.get(contentVersion) ?? now();
		seenAtByVersion.set(contentVersion, seenAt);
		return seenAt;
	};

	const isSafeToFree = async (weights: DesiredWeights, seenAt: number): Promise<boolean> => {
		if (!canFreeStaleKv([], seenAt, now())) {
			return false;
		}

		const hosts = await listHosts();
		return canFreeStaleKv(hosts.map(host => ({ackedAt: ackedAtByVersion.get(weights.contentVersion)?.get(host.host)})), seenAt, now());
	};

	const freeParts = async (store: KvStore, parts: ReturnType<typeof listStaleParts>): Promise<void> => {
		const epoch = store.partIndex.epoch();
		freedAt.set(store.name, now());
		for (let at = 0; at < parts.length && epoch !== undefined; at += partsPerCall) {
			const batch = parts.slice(at, at + partsPerCall);
			const isFreed = await engineClient.freeKvParts(store.store.address, epoch, batch);
			if (isFreed) {
				store.partIndex.removeParts(batch);
			}

			log.info({
				store: store.name, epoch, parts: batch.length, tokens: batch.reduce((sum, part) => sum + part.tokens, 0), freed: isFreed,
			}, 'context of replaced weights freed');
		}
	};

	const freeStaleParts = async (): Promise<void> => {
		for (const weights of desiredWeightsHistory()) {
			const seenAt = recordSeen(weights);
			const staleByStore = stores()
				.filter(store => isPoller(store.name) && now() - (freedAt.get(store.name) ?? Number.NEGATIVE_INFINITY) > minFreeIntervalMs)
				.map(store => ({store, parts: listStaleParts(store, weights)}))
				.filter(({parts}) => parts.length > 0);
			if (staleByStore.length > 0 && await isSafeToFree(weights, seenAt)) {
				for (const {store, parts} of staleByStore) {
					await freeParts(store, parts);
				}
			}
		}
	};

	const runPeriodically = async (): Promise<void> => {
		while (!hasStopped) {
			await sleepUntilTick(intervalMs);
			try {
				await freeStaleParts();
			} catch (error) {
				logFailure(error, {}, 'freeing KV cache of stale weights failed, retrying');
			}
		}
	};

	void runPeriodically();
	return {
		recordStatus(status) {
			for (const {contentVersion} of desiredWeightsHistory()) {
				const ackedAtByHost = ackedAtByVersion.get(contentVersion) ?? new Map<string, number>();
				ackedAtByVersion.set(contentVersion, ackedAtByHost);
				if ((status.contentVersions[weightsKind] ?? 0) >= contentVersion && !ackedAtByHost.has(status.host)) {
					ackedAtByHost.set(status.host, now());
				}
			}
		},
		stop() {
			hasStopped = true;
		},
	};
}
