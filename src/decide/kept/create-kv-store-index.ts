import {type KvEventBatch} from '../../forwarding/kv-event-batch.js';
import {staleReadLimits} from './stale-read-limits.js';
import {type KvStoreIndex} from './kv-store-index.js';
import {formatPartKey} from './format-part-key.js';

const {maxFetchMs} = staleReadLimits;
/** A fetch begins only if it has at least this long. */
const minFetchMs = 800;
/** Answers to polls that are remembered, a minute's worth. */
const maxRecentBatches = 120;

/** A part that a store holds. */
type StoredPart = {
	readonly scope: string;
	readonly part: string;
	readonly tokens: number;
};

/**
Creates the directory of a store that evicts nothing by itself and checks nothing. A part listed as whole stays so until it
is freed or the store restarts, so every fetch ends within `validMs` of the answer that listed it, by the store's own clock.
In turn nobody saves into a store until `validMs` after its restart was seen: by then no fetch goes on that began on the
word of the store's last life.
*/
export function createKvStoreIndex(): KvStoreIndex {
	const parts = new Map<string, StoredPart>();
	let epoch: number | undefined;
	let next: number | undefined;
	let epochSeenAt = 0;
	let clockMs: number | undefined;
	let lastPollSentAt = 0;
	let tokens = 0;
	/** The last answers to polls, for hosts that missed some of them. */
	let recent: ReadonlyArray<{readonly from: number; readonly events: KvEventBatch['events']}> = [];

	const clear = (): void => {
		parts.clear();
		tokens = 0;
		next = undefined;
		clockMs = undefined;
		recent = [];
	};

	const remove = (key: string): void => {
		tokens -= parts.get(key)?.tokens ?? 0;
		parts.delete(key);
	};

	const startEpoch = (batch: KvEventBatch, now: number): void => {
		clear();
		epoch = batch.epoch;
		epochSeenAt = now;
	};

	return {
		applyUpdate(batch, sentAt, now) {
			const isListing = next === undefined;
			if (batch.epoch !== epoch) {
				startEpoch(batch, now);
				if (!isListing) {
					// The events belong to a life of which the beginning is not known.
					return;
				}
			}

			if (batch.hasGap && !isListing) {
				clear();
				return;
			}

			for (const event of batch.events) {
				const key = formatPartKey(event.scope, event.part);
				remove(key);
				if (event.isAdded) {
					parts.set(key, {scope: event.scope, part: event.part, tokens: event.tokens});
					tokens += event.tokens;
				}
			}

			if (next !== undefined && batch.next > next) {
				recent = [...recent.slice(-maxRecentBatches), {from: next, events: batch.events}];
			}

			next = batch.next;
			clockMs = batch.clockMs;
			lastPollSentAt = sentAt;
		},
		invalidate: clear,
		removeParts(freed) {
			for (const {scope, part} of freed) {
				remove(formatPartKey(scope, part));
			}
		},
		next: () => next,
		since(from) {
			const at = from === next ? recent.length : recent.findIndex(batch => batch.from === from);
			return epoch === undefined || next === undefined || at === -1
				? undefined
				: {
					epoch, next, hasGap: false, clockMs, events: recent.slice(at).flatMap(batch => batch.events),
				};
		},
		has: (scope, part) => parts.has(formatPartKey(scope, part)),
		getFetchDeadlineMs(now) {
			const ageMs = now - lastPollSentAt;
			return clockMs === undefined || ageMs > maxFetchMs - minFetchMs ? undefined : Math.floor(clockMs + maxFetchMs);
		},
		canSave: now => next !== undefined && now - epochSeenAt >= maxFetchMs,
		tokens: () => tokens,
		clockMs: () => clockMs,
		epoch: () => epoch,
		listParts: () => [...parts.values()],
	};
}
