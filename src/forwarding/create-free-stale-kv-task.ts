import {canFreeStaleKv} from '../decide/kv-cache/can-free-stale-kv.js';
import {type KvScope} from '../decide/kv-cache/kv-scope.js';
import {parseScope} from '../decide/kv-cache/parse-scope.js';
import {staleReadLimits} from '../decide/kv-cache/stale-read-limits.js';
import {type KvSharingState} from '../object-store/kv-sharing-state.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {memoize} from '../util/memoize.js';
import {sleepUntilTick} from '../util/sleep-until-tick.js';
import {type KnownHost} from '../reports/known-host.js';
import {type HostStatus} from '../reports/host-status.js';
import {createChangeAcknowledgements} from './create-change-acknowledgements.js';
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
	/** Returns the rules by which workspaces share KV cache. */
	readonly kvSharing: () => KvSharingState;
	/** Kind of the stored object that holds the configuration. */
	readonly configurationKind: string;
	/** Reads the configuration from the object store; throws when it does not respond. */
	readonly confirmConfiguration: () => Promise<void>;
	/** Reads the registered hosts from the object store; lists all others that are or were registered. */
	readonly listHosts: () => Promise<readonly KnownHost[]>;
	/** Monotonic clock in milliseconds: others may still read what is to be freed (`Clocks`). */
	readonly now: () => number;
};

/** Scopes that a change has made stale. */
type StaleScopes = {
	/** Kind of the stored objects that changed, and the version of their content. */
	readonly kind: string;
	readonly contentVersion: number;
	readonly isStale: (scope: KvScope) => boolean;
	/** Whether a later change may bring the scopes back; versions of weights never return. */
	readonly mayReturn: boolean;
};

/** Frees the KV cache of stale scopes in the managed stores. */
type FreeStaleKvTask = {
	/** Records which changes another host has received. */
	readonly recordStatus: (status: HostStatus) => void;
	readonly stop: () => void;
};

/** Starts the task that frees the stored KV cache of replaced weights, and of scopes in which no workspace runs any more, once no host reads it. */
export function createFreeStaleKvTask({
	engineClient, stores, isPoller, desiredWeightsHistory, weightsKind, kvSharing, configurationKind, confirmConfiguration, listHosts, now,
}: FreeStaleKvTaskOptions): FreeStaleKvTask {
	const acknowledgements = createChangeAcknowledgements(now);
	/** Hosts of an earlier build, which read under scopes that are not in use by this one's rules. */
	const hostsWithoutGroups = new Set<string>();
	const freedAt = new Map<string, number>();
	let hasStopped = false;

	const listStaleParts = (store: KvStore, {isStale}: StaleScopes) => {
		const isStaleText = memoize((text: string) => {
			const scope = parseScope(text);
			return scope !== undefined && isStale(scope);
		});
		return store.partIndex.listParts().filter(({scope}) => isStaleText(scope));
	};

	/** What each change has made stale: new weights the scopes of older ones, a configuration those in which no workspace runs any more. */
	const listStaleScopes = (): readonly StaleScopes[] => {
		const {contentVersion, isInUse} = kvSharing();
		return [
			...desiredWeightsHistory().map(weights => ({
				kind: weightsKind,
				contentVersion: weights.contentVersion,
				isStale: ({model, version}: KvScope) => model === weights.model && version < weights.version,
				mayReturn: false,
			})),
			{
				kind: configurationKind, contentVersion, isStale: scope => !isInUse(scope), mayReturn: true,
			},
		];
	};

	const isSafeToFree = async (change: StaleScopes): Promise<boolean> => {
		const {contentVersion, mayReturn} = change;
		const seenAt = acknowledgements.seenAt(change);
		if (!canFreeStaleKv([], seenAt, now())) {
			return false;
		}

		const hosts = await listHosts();
		if (mayReturn && hosts.some(({host}) => hostsWithoutGroups.has(host))) {
			return false;
		}

		if (!canFreeStaleKv(hosts.map(({host}) => ({ackedAt: acknowledgements.ackedAt(change, host)})), seenAt, now())) {
			return false;
		}

		if (!mayReturn) {
			return true;
		}

		await confirmConfiguration();
		return kvSharing().contentVersion === contentVersion;
	};

	const freeParts = async (store: KvStore, parts: ReturnType<typeof listStaleParts>, mayReturn: boolean): Promise<void> => {
		const epoch = store.partIndex.epoch();
		const clockMs = store.partIndex.clockMs();
		if (epoch === undefined || (mayReturn && clockMs === undefined)) {
			return;
		}

		const untilMs = mayReturn ? Math.floor(clockMs! + staleReadLimits.maxFreeMs) : undefined;
		freedAt.set(store.name, now());
		for (let at = 0; at < parts.length; at += partsPerCall) {
			const batch = parts.slice(at, at + partsPerCall);
			const isFreed = await engineClient.freeKvParts(store.store.address, epoch, batch, untilMs);
			if (isFreed) {
				store.partIndex.removeParts(batch);
			}

			log.info({
				store: store.name, epoch, parts: batch.length, tokens: batch.reduce((sum, part) => sum + part.tokens, 0), freed: isFreed,
			}, mayReturn ? 'context that no workspace shares any more freed' : 'context of replaced weights freed');
		}
	};

	const freeStaleParts = async (): Promise<void> => {
		const changes = listStaleScopes();
		acknowledgements.follow(changes);
		for (const change of changes) {
			const staleByStore = stores()
				.filter(store => isPoller(store.name) && now() - (freedAt.get(store.name) ?? Number.NEGATIVE_INFINITY) > minFreeIntervalMs)
				.map(store => ({store, parts: listStaleParts(store, change)}))
				.filter(({parts}) => parts.length > 0);
			if (staleByStore.length > 0 && await isSafeToFree(change)) {
				for (const {store, parts} of staleByStore) {
					await freeParts(store, parts, change.mayReturn);
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
				logFailure(error, {}, 'freeing KV cache of stale scopes failed, retrying');
			}
		}
	};

	void runPeriodically();
	return {
		recordStatus(status) {
			if (status.sharesKvByGroup) {
				hostsWithoutGroups.delete(status.host);
			} else {
				hostsWithoutGroups.add(status.host);
			}

			acknowledgements.record(listStaleScopes(), status.host, status.contentVersions);
		},
		stop() {
			hasStopped = true;
		},
	};
}
