import {type KvEventBatch} from '../../forwarding/kv-event-batch.js';
import {staleReadLimits} from './stale-read-limits.js';
import {type KvStoreIndex} from './kv-store-index.js';
import {formatPartKey} from './format-part-key.js';

const {maxFetchMs} = staleReadLimits;
/** A fetch is started only if at least this much time is left for it. */
const minFetchMs = 800;
/** Number of poll responses that are kept, about a minute's worth. */
const maxRecentBatches = 120;

/** A part of a prompt whose KV cache a store holds. */
type StoredPart = {
	readonly scope: string;
	readonly part: string;
	readonly tokens: number;
};

/**
Creates the index of a KV store that evicts nothing by itself and does not verify the data that a fetch reads. A part listed as
complete stays complete until it is freed or the store restarts. Every fetch therefore ends within `maxFetchMs` of the response that
confirmed the part, by the store's own clock. In turn, a host saves into a store only when `maxFetchMs` have passed since the host first
saw the store's current epoch: by then every fetch that relies on the state from before a restart has ended.
*/
export function createKvStoreIndex(): KvStoreIndex {
	const parts = new Map<string, StoredPart>();
	/** Changes when the store restarts. */
	let epoch: number | undefined;
	/** Position in the store's events from which the next poll continues; `undefined` when the store has to be listed. */
	let next: number | undefined;
	/** By the clock for waits. */
	let epochSeenAt = 0;
	/** The store's clock at its last response. */
	let clockMs: number | undefined;
	/** When the request for the last response was sent, by the clock for the host's own rights. */
	let lastPollSentAt = 0;
	let tokens = 0;
	/** The last poll responses, for hosts that missed some of them. `from` is the position at which each one starts. */
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

	const startEpoch = (batch: KvEventBatch, waitNow: number): void => {
		clear();
		epoch = batch.epoch;
		epochSeenAt = waitNow;
	};

	return {
		applyUpdate(batch, sentAt, waitNow) {
			const isListing = next === undefined;
			if (batch.epoch !== epoch) {
				startEpoch(batch, waitNow);
				if (!isListing) {
					// The store restarted, and its events before these are not known.
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
			const firstIndex = from === next ? recent.length : recent.findIndex(batch => batch.from === from);
			return epoch === undefined || next === undefined || firstIndex === -1
				? undefined
				: {
					epoch, next, hasGap: false, clockMs, events: recent.slice(firstIndex).flatMap(batch => batch.events),
				};
		},
		has: (scope, part) => parts.has(formatPartKey(scope, part)),
		getFetchDeadlineMs(heldNow) {
			const ageMs = heldNow - lastPollSentAt;
			return clockMs === undefined || ageMs > maxFetchMs - minFetchMs ? undefined : Math.floor(clockMs + maxFetchMs);
		},
		canSave: waitNow => next !== undefined && waitNow - epochSeenAt >= maxFetchMs,
		tokens: () => tokens,
		clockMs: () => clockMs,
		epoch: () => epoch,
		listParts: () => [...parts.values()],
	};
}
