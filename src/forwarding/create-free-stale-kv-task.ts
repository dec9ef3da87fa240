import {canFreeStaleKv} from '../decide/kept/can-free-stale-kv.js';
import {parseScope} from '../decide/kept/parse-scope.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type KvStore} from './kv-store.js';
import {type EngineClient} from './engine-client.js';
import {type KnownHost} from './known-host.js';
import {type HostStatus} from './host-status.js';
import {type DesiredWeights} from './desired-weights.js';

const stepMs = 500;
const partsAtOnce = 200;
/** The store's events show what was freed within this time. */
const againMs = 1500;

/** What the task needs. */
type FreeStaleKvTaskOptions = {
	readonly control: EngineClient;
	readonly stores: () => readonly KvStore[];
	/** Whether this host is the one that polls a store, and so the one that frees from it. */
	readonly isPoller: (store: string) => boolean;
	/** All namings seen, oldest first. */
	readonly desiredWeightsHistory: () => readonly DesiredWeights[];
	/** Kind of the stored objects that name weights. */
	readonly weightsKind: string;
	/** Lists all other hosts that are or were registered. */
	readonly listHosts: () => Promise<readonly KnownHost[]>;
	/** Clock in milliseconds that counts suspensions. */
	readonly now: () => number;
};

/** Frees context of replaced weights from the managed stores. */
type FreeStaleKvTask = {
	readonly recordStatus: (status: HostStatus) => void;
	readonly stop: () => void;
};

/** Starts the task that frees stored context of replaced weights once no host reads it any more. */
export function createFreeStaleKvTask({control, stores, isPoller, desiredWeightsHistory, weightsKind, listHosts, now}: FreeStaleKvTaskOptions): FreeStaleKvTask {
	/** When each host was first heard to know of a naming, by revision and host. */
	const acks = new Map<number, Map<string, number>>();
	const freedAt = new Map<string, number>();
	let hasStopped = false;

	const listRetired = (store: KvStore, weights: DesiredWeights) => store.directory.listParts().filter(({scope}) => {
		const read = parseScope(scope);
		return read?.model === weights.model && read.version < weights.version;
	});

	const isSafe = async (weights: DesiredWeights): Promise<boolean> => {
		if (!canFreeStaleKv([], weights.learnedAt, now())) {
			return false;
		}

		const hosts = await listHosts();
		return canFreeStaleKv(hosts.map(host => ({ackedAt: acks.get(weights.revision)?.get(host.host)})), weights.learnedAt, now());
	};

	const free = async (store: KvStore, parts: ReturnType<typeof listRetired>): Promise<void> => {
		const epoch = store.directory.epoch();
		freedAt.set(store.name, now());
		for (let at = 0; at < parts.length && epoch !== undefined; at += partsAtOnce) {
			const some = parts.slice(at, at + partsAtOnce);
			const isFreed = await control.freeKvParts(store.store.address, epoch, some);
			if (isFreed) {
				store.directory.removeParts(some);
			}

			log.info({
				store: store.name, epoch, parts: some.length, tokens: some.reduce((sum, part) => sum + part.tokens, 0), freed: isFreed,
			}, 'context of replaced weights freed');
		}
	};

	const step = async (): Promise<void> => {
		for (const weights of desiredWeightsHistory()) {
			const work = stores()
				.filter(store => isPoller(store.name) && now() - (freedAt.get(store.name) ?? Number.NEGATIVE_INFINITY) > againMs)
				.map(store => ({store, parts: listRetired(store, weights)}))
				.filter(({parts}) => parts.length > 0);
			if (work.length > 0 && await isSafe(weights)) {
				for (const {store, parts} of work) {
					await free(store, parts);
				}
			}
		}
	};

	const keepStepping = async (): Promise<void> => {
		while (!hasStopped) {
			await sleep(stepMs);
			try {
				await step();
			} catch (error) {
				log.warn({error: String(error)}, 'context of replaced weights can not be freed now');
			}
		}
	};

	void keepStepping();
	return {
		recordStatus(status) {
			for (const {revision} of desiredWeightsHistory()) {
				const ofNaming = acks.get(revision) ?? new Map<string, number>();
				acks.set(revision, ofNaming);
				if ((status.changes[weightsKind] ?? 0) >= revision && !ofNaming.has(status.host)) {
					ofNaming.set(status.host, now());
				}
			}
		},
		stop() {
			hasStopped = true;
		},
	};
}
