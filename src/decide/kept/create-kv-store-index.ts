import {type KvEventBatch} from '../../forwarding/kv-event-batch.js';
import {staleReadLimits} from './stale-read-limits.js';
import {type KvStoreIndex} from './kv-store-index.js';
import {formatPartKey} from './format-part-key.js';

const {maxFetchMs: validMs} = staleReadLimits;
/** A fetch begins only if it has at least this long. */
const leastFetchMs = 800;
/** Answers to polls that are remembered, a minute's worth. */
const rememberedAnswers = 120;

/** A part that a store holds. */
type HeldPart = {
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
	const parts = new Map<string, HeldPart>();
	let epoch: number | undefined;
	let next: number | undefined;
	let epochSeenAt = 0;
	let clockMs: number | undefined;
	let answeredAt = 0;
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

	const startEpoch = (news: KvEventBatch, now: number): void => {
		clear();
		epoch = news.epoch;
		epochSeenAt = now;
	};

	return {
		applyUpdate(news, sentAt, now) {
			const isListing = next === undefined;
			if (news.epoch !== epoch) {
				startEpoch(news, now);
				if (!isListing) {
					// The events belong to a life of which the beginning is not known.
					return;
				}
			}

			if (news.hasGap && !isListing) {
				clear();
				return;
			}

			for (const event of news.events) {
				const key = formatPartKey(event.scope, event.part);
				remove(key);
				if (event.isAdded) {
					parts.set(key, {scope: event.scope, part: event.part, tokens: event.tokens});
					tokens += event.tokens;
				}
			}

			if (next !== undefined && news.next > next) {
				recent = [...recent.slice(-rememberedAnswers), {from: next, events: news.events}];
			}

			next = news.next;
			clockMs = news.clockMs;
			answeredAt = sentAt;
		},
		invalidate: clear,
		removeParts(freed) {
			for (const {scope, part} of freed) {
				remove(formatPartKey(scope, part));
			}
		},
		next: () => next,
		since(from) {
			const at = from === next ? recent.length : recent.findIndex(answer => answer.from === from);
			return epoch === undefined || next === undefined || at === -1
				? undefined
				: {
					epoch, next, hasGap: false, clockMs, events: recent.slice(at).flatMap(answer => answer.events),
				};
		},
		has: (scope, part) => parts.has(formatPartKey(scope, part)),
		getFetchDeadlineMs(now) {
			const ageMs = now - answeredAt;
			return clockMs === undefined || ageMs > validMs - leastFetchMs ? undefined : Math.floor(clockMs + validMs);
		},
		canSave: now => next !== undefined && now - epochSeenAt >= validMs,
		tokens: () => tokens,
		clockMs: () => clockMs,
		epoch: () => epoch,
		listParts: () => [...parts.values()],
	};
}
