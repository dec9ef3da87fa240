import {comparePositions} from '../decide/object-store/compare-positions.js';
import {keepNewestVersions} from '../decide/object-store/keep-newest-versions.js';
import {isProgramError} from '../errors/is-program-error.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {every} from '../util/every.js';
import {sleepUntilTick} from '../util/sleep-until-tick.js';
import {sleep} from '../util/sleep.js';
import {type KindSnapshot} from './kind-snapshot.js';
import {type ObjectWatcher} from './object-watcher.js';
import {type ObjectStore} from './object-store.js';
import {type RemovalRecord} from './removal-record.js';
import {type StoredObject} from './stored-object.js';

const minRetryDelayMs = 200;
const maxRetryDelayMs = 1000;
const retryJitter = 0.5;
/** Time between two checks whether this host should watch the store again. */
const idleCheckIntervalMs = 300;
/** How long a failure to reach the store is still reported while this host doesn't watch it. */
const unreachableStatusTtlMs = 5000;
/**
Pause after a call that returned changes, so that frequent changes take few calls; far below each time within which a change must
take effect.
*/
const batchIntervalMs = 120;

/** A follower without a response for this long beyond the wait of its watch lists the objects anew instead of watching, in milliseconds. */
const relistMarginMs = 4000;

/** Wait of a watch after a failed call, whose response states the epoch of the store. */
const probeWaitMs = 1;

/** A watch that begins later than this after the store's last response may bring a change that was made before, unless it waited for it. */
const maxUnwatchedMs = 500;
/** A store that takes this long to respond to a watch for a change that it has already counts as one that does not respond. */
const minWaitedMs = 1500;

/** How often a waiting watch checks whether it should have waited less. */
const waitCheckIntervalMs = 300;

/** Options of `createObjectWatcher`. */
type ObjectWatcherOptions = {
	readonly kind: string;
	readonly store: ObjectStore;
	readonly now: () => number;
	readonly random: () => number;
	/** Longest wait of the next watch call, in milliseconds; also how long a dead connection can go unnoticed. */
	readonly waitMs: () => number;
	/** Whether this host watches the store itself; if not, it receives changes from peers. */
	readonly isWatching: () => boolean;
	/** Returns the version of an object's content, which only increases, if objects of this kind have one; `undefined` when it is invalid. */
	readonly getVersion?: (object: StoredObject) => number | undefined;
	/** Set for objects without a version in their content that a store which returns from an older copy must not take back. */
	readonly removals?: RemovalRecord;
	/**
	Called after a change with all objects, the time of the store's last response before it, the store's epoch, and whether the change arrived as it
	was made, at a watch that waited for it.
	*/
	readonly onChange: (objects: readonly StoredObject[], confirmedAt: number | undefined, epoch: number, isPrompt: boolean) => void;
};

/** Whether a list shows what is known already, so that other hosts need not hear of it. */
function hasSameObjects(known: readonly StoredObject[], listed: readonly StoredObject[]): boolean {
	const byName = new Map(known.map(object => [object.name, object]));
	return listed.length === byName.size && listed.every(object => {
		const before = byName.get(object.name);
		return before !== undefined && comparePositions(before, object) === 0;
	});
}

/**
Watches a kind of objects: lists them, then waits for changes; lists them again if the store has discarded its history, or has returned from an
older copy. Content with a version never goes back.
*/
export function createObjectWatcher({
	kind, store, now, random, waitMs, isWatching, getVersion, removals, onChange,
}: ObjectWatcherOptions): ObjectWatcher {
	let current: KindSnapshot | undefined;
	let contentVersion = 0;
	let contactAt: number | undefined;
	let isUnreachable = false;
	/** Whether the last call failed; the store may have come back from an older copy since. */
	let hasFailed = false;
	let lastFailureAt = Number.NEGATIVE_INFINITY;
	/** Whether an error of the program ended the last call: what it was to bring may not have been taken in. */
	let mustList = false;
	let retryDelayMs = minRetryDelayMs;
	let hasStopped = false;
	let refreshing: Promise<void> | undefined;

	const sumVersions = (objects: readonly StoredObject[]): number => removals?.getVersion(objects) ?? objects.reduce((sum, object) => sum + (getVersion?.(object) ?? 0), 0);

	const mergeObjects = (received: KindSnapshot): readonly StoredObject[] => {
		const known = current?.objects ?? [];
		if (removals) {
			return removals.merge(known, received, !current || comparePositions(received, current) > 0);
		}

		return getVersion ? keepNewestVersions(known, received.objects, getVersion) : received.objects;
	};

	const setSnapshot = (received: KindSnapshot, confirmedAt: number | undefined, isPrompt = false): void => {
		const objects = mergeObjects(received);
		current = {...received, objects};
		contentVersion = sumVersions(objects);
		onChange(objects, confirmedAt, received.epoch, isPrompt);
	};

	/** @returns The time of the store's previous response. */
	const recordContact = (): number | undefined => {
		const previous = contactAt;
		retryDelayMs = minRetryDelayMs;
		hasFailed = false;
		contactAt = now();
		if (isUnreachable) {
			isUnreachable = false;
			log.info({kind, revision: current?.revision ?? 0}, 'store answers again');
		}

		return previous;
	};

	/** Lists the known objects that the store still has in this epoch. */
	const listKnownOf = ({objects, epoch}: KindSnapshot): readonly StoredObject[] =>
		removals ? objects.filter(object => object.epoch === epoch && !removals.isRemoved(object)) : objects;

	const list = async (): Promise<void> => {
		const {objects, epoch, revision} = await store.list(kind);
		const confirmedAt = recordContact();
		if (!current || comparePositions({epoch, revision}, current) >= 0) {
			setSnapshot({
				objects, epoch, revision, changedAt: current?.epoch === epoch && hasSameObjects(listKnownOf(current), objects) ? current.changedAt : revision,
			}, confirmedAt);
		} else {
			log.warn({
				kind, epoch, revision, knownEpoch: current.epoch, known: current.revision,
			}, 'listed objects are older than those known');
			await sleep(minRetryDelayMs);
		}
	};

	/** Watches, and ends the watch early when this host is to notice dead connections sooner than when it began. */
	const watchWithin = async (from: KindSnapshot, longestMs: number): Promise<Awaited<ReturnType<ObjectStore['watch']>> | 'waited-enough'> => {
		const startedAt = now();
		const shortened = new AbortController();
		const stopChecking = every(waitCheckIntervalMs, 'waits of watches', () => {
			const allowedMs = waitMs();
			if (allowedMs < longestMs && now() - startedAt > allowedMs) {
				shortened.abort();
			}
		});
		try {
			return await store.watch(kind, from, longestMs, shortened.signal);
		} catch (error) {
			if (shortened.signal.aborted) {
				return 'waited-enough';
			}

			throw error;
		} finally {
			stopChecking();
		}
	};

	const watchOnce = async (from: KindSnapshot): Promise<void> => {
		const calledAt = now();
		const isRepeated = hasFailed;
		const unwatchedMs = contactAt === undefined ? Number.POSITIVE_INFINITY : calledAt - contactAt;
		const result = await watchWithin(from, hasFailed ? probeWaitMs : waitMs());
		if (result === 'waited-enough') {
			return;
		}

		if (!result) {
			log.info({kind, epoch: from.epoch, revision: from.revision}, 'store has discarded its history, listing objects again');
			await list();
			return;
		}

		const confirmedAt = recordContact();

		// A newer snapshot from a peer may have been applied during the call.
		if (current && comparePositions(result, current) > 0) {
			const objectsByName = new Map(current.objects.map(object => [object.name, object]));
			for (const {object, isRemoved} of result.changes) {
				if (isRemoved && removals) {
					objectsByName.set(object.name, removals.toRemoved(object, result));
				} else if (isRemoved) {
					objectsByName.delete(object.name);
				} else {
					objectsByName.set(object.name, object);
				}
			}

			const changedAt = result.changes.length > 0 ? result.revision : current.changedAt;
			const next = {
				objects: [...objectsByName.values()], epoch: result.epoch, revision: result.revision, changedAt,
			};
			if (result.changes.length > 0) {
				setSnapshot(next, confirmedAt, !isRepeated && (unwatchedMs < maxUnwatchedMs || now() - calledAt > minWaitedMs));
				await sleep(batchIntervalMs);
			} else {
				current = next;
			}
		}
	};

	/** Whether to watch from the state that is known; a follower that gets nowhere in this way lists the objects, whatever the reason. */
	const canWatch = (from: KindSnapshot | undefined): from is KindSnapshot =>
		from !== undefined && contactAt !== undefined && !mustList && !(hasFailed && now() - contactAt > waitMs() + relistMarginMs);

	const step = async (): Promise<void> => {
		if (canWatch(current)) {
			await watchOnce(current);
			return;
		}

		await list();
		mustList = false;
	};

	/** @returns Whether the next call goes out at once. */
	const recordFailure = (error: unknown): boolean => {
		const isFirst = !hasFailed;
		lastFailureAt = now();
		hasFailed = true;
		if (isProgramError(error)) {
			mustList = true;
			logFailure(error, {kind, revision: current?.revision ?? 0}, 'following the store failed');
		} else if (isFirst && current) {
			// The connection may have gone silent: the next call goes on another one at once.
			log.info({kind, revision: current.revision, error: String(error)}, 'watch of the store got no response');
			return true;
		}

		if (!(isFirst && current) && !isUnreachable && !hasStopped) {
			// Others follow the store in this host's place meanwhile.
			isUnreachable = true;
			log.warn({kind, revision: current?.revision ?? 0, error: String(error)}, 'store does not answer');
		}

		return false;
	};

	const run = async (): Promise<void> => {
		while (!hasStopped) {
			if (current && !isWatching()) {
				// A failure that is too old no longer says whether the store can be reached.
				isUnreachable &&= now() - lastFailureAt < unreachableStatusTtlMs;
				await sleepUntilTick(idleCheckIntervalMs);
				continue;
			}

			try {
				await step();
			} catch (error) {
				if (!recordFailure(error)) {
					await sleep(retryDelayMs * (1 + (random() * retryJitter)));
					retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
				}
			}
		}
	};

	void run();
	return {
		kind,
		state: () => current,
		contentVersion: () => contentVersion,
		applySnapshot(state) {
			const isNewer = !current || comparePositions(state, current) > 0;
			if (isNewer || sumVersions(state.objects) > contentVersion) {
				log.info({
					kind, epoch: state.epoch, revision: state.revision, beforeEpoch: current?.epoch ?? 0, before: current?.revision ?? 0,
				}, 'took newer state from a peer');
				setSnapshot(isNewer ? state : {...current!, objects: state.objects}, contactAt);
			}
		},
		async refresh() {
			refreshing ??= list().finally(() => {
				refreshing = undefined;
			});
			await refreshing;
		},
		lastContactAt: () => contactAt,
		isStoreUnreachable: () => isUnreachable,
		stop() {
			hasStopped = true;
		},
	};
}
