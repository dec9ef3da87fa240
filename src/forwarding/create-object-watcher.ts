import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type KindSnapshot} from './kind-snapshot.js';
import {type ObjectWatcher} from './object-watcher.js';
import {type ObjectStore} from './object-store.js';
import {type StoredObject} from './stored-object.js';

const firstRetryMs = 200;
const mostRetryMs = 1000;
const retrySpread = 0.5;
const idleMs = 250;
const lostMs = 5000;
/** Between two calls that bring changes, so that many changes in a row cost few calls; far below every bound on changes. */
const gatherMs = 120;

/** What a watch needs. */
type ObjectWatcherOptions = {
	readonly kind: string;
	readonly store: ObjectStore;
	readonly now: () => number;
	readonly random: () => number;
	/** Longest wait of the next call, in milliseconds; also how long a silent connection goes unnoticed. */
	readonly waitMs: () => number;
	/** Whether this host follows the store itself; otherwise peers tell it of changes. */
	readonly isWatching: () => boolean;
	/** Takes the objects after a change, and when the store had answered last before it. */
	readonly onChange: (objects: readonly StoredObject[], confirmedAt: number | undefined) => void;
};

/** Follows a kind: lists its objects, then waits for changes; lists again when the store has dropped the history. */
export function createObjectWatcher({kind, store, now, random, waitMs, isWatching, onChange}: ObjectWatcherOptions): ObjectWatcher {
	let current: KindSnapshot | undefined;
	let contactAt: number | undefined;
	let isLost = false;
	let failedAt = Number.NEGATIVE_INFINITY;
	let retryMs = firstRetryMs;
	let hasStopped = false;

	const set = (state: KindSnapshot, confirmedAt: number | undefined): void => {
		current = state;
		onChange(state.objects, confirmedAt);
	};

	/** @returns When the store had answered before. */
	const noteContact = (): number | undefined => {
		const before = contactAt;
		retryMs = firstRetryMs;
		contactAt = now();
		if (isLost) {
			isLost = false;
			log.info({kind, revision: current?.revision ?? 0}, 'store answers again');
		}

		return before;
	};

	const list = async (): Promise<void> => {
		const {objects, revision} = await store.list(kind);
		const confirmedAt = noteContact();
		if (!current || revision >= current.revision) {
			set({objects, revision, changedAt: revision}, confirmedAt);
		}
	};

	const follow = async (from: KindSnapshot): Promise<void> => {
		const answer = await store.watch(kind, from.revision, waitMs());
		if (!answer) {
			log.info({kind, revision: from.revision}, 'store dropped its history, listing again');
			await list();
			return;
		}

		const confirmedAt = noteContact();

		// A peer's newer state may have been taken while the call waited.
		if (current && answer.revision > current.revision) {
			const byName = new Map(current.objects.map(object => [object.name, object]));
			for (const {object, isRemoved} of answer.changes) {
				if (isRemoved) {
					byName.delete(object.name);
				} else {
					byName.set(object.name, object);
				}
			}

			const changedAt = answer.changes.length > 0 ? answer.revision : current.changedAt;
			const next = {objects: [...byName.values()], revision: answer.revision, changedAt};
			if (answer.changes.length > 0) {
				set(next, confirmedAt);
				await sleep(gatherMs);
			} else {
				current = next;
			}
		}
	};

	const run = async (): Promise<void> => {
		while (!hasStopped) {
			if (current && !isWatching()) {
				// What was found of the store is out of date after a while.
				isLost &&= now() - failedAt < lostMs;
				await sleep(idleMs);
				continue;
			}

			try {
				await (current && contactAt !== undefined ? follow(current) : list());
			} catch (error) {
				failedAt = now();
				if (!isLost && !hasStopped) {
					isLost = true;
					log.warn({kind, revision: current?.revision ?? 0, error: String(error)}, 'store does not answer');
				}

				await sleep(retryMs * (1 + (random() * retrySpread)));
				retryMs = Math.min(mostRetryMs, retryMs * 2);
			}
		}
	};

	void run();
	return {
		kind,
		state: () => current,
		applySnapshot(state) {
			if (!current || state.revision > current.revision) {
				log.info({kind, revision: state.revision, before: current?.revision ?? 0}, 'took newer state from a peer');
				set(state, contactAt);
			}
		},
		lastContactAt: () => contactAt,
		isStoreUnreachable: () => isLost,
		stop() {
			hasStopped = true;
		},
	};
}
