import {type KvStoreView} from './kv-store-view.js';
import {type KvTransferPlan} from './kv-transfer-plan.js';
import {type PartTransferPlan} from './part-transfer-plan.js';

/** Inputs of a plan. */
type KvTransferInput = {
	/** Parts of the prompt, in order. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** Returns whether the engine probably holds the part. */
	readonly isInEngine: (part: string) => boolean;
	/** Returns the address of another engine that probably holds the part. */
	readonly findOtherEngine: (part: string) => string | undefined;
	/** KV stores in order of preference for saves. */
	readonly stores: readonly KvStoreView[];
	/** Returns whether a save of the part is pending. */
	readonly isBeingSaved: (part: string) => boolean;
	readonly prefillTokensPerMs: number;
	/** Returns the time to transfer that many tokens between two engines, in milliseconds. */
	readonly estimateEngineTransferMs: (tokens: number) => number;
};

/** A part is fetched if that takes less than this multiple of its prefill time, since prefill also delays other requests. */
const maxFetchTimeFactor = 6;

/**
Plans where the KV cache of each part of a prompt comes from: the engine's own memory, a store that holds the complete part, another
engine that prefilled it recently, or a new prefill. Also plans which shared parts are saved, and to which store. The last part belongs
to one session and is neither fetched nor saved. Load pattern: callers that return after the engines have evicted their KV cache, with
far more shared KV cache than the engines' memory holds.
*/
export function planKvTransfers(input: KvTransferInput): KvTransferPlan {
	const {parts, isInEngine, findOtherEngine, stores, isBeingSaved, prefillTokensPerMs, estimateEngineTransferMs} = input;
	const saves: Array<{readonly store: string; readonly part: string; readonly tokens: number}> = [];
	let missingTokens = 0;
	let fetchedTokens = 0;
	let fetchDeadlineMs: number | undefined;

	const listReadableStores = (part: string): readonly KvStoreView[] => stores.filter(store => store.fetchDeadlineMs !== undefined && store.has(part));

	const planSave = (id: string, tokens: number): string | undefined => {
		if (isBeingSaved(id) || stores.some(store => store.has(id))) {
			return undefined;
		}

		const store = stores.find(candidate => candidate.canSave(tokens));
		if (store) {
			saves.push({store: store.name, part: id, tokens});
		}

		return store?.address;
	};

	const planPart = (id: string, tokens: number): PartTransferPlan => {
		const saveTo = planSave(id, tokens);
		const prefillMs = tokens / prefillTokensPerMs;
		const [holder] = listReadableStores(id).toSorted((a, b) => a.estimateTransferMs(tokens) - b.estimateTransferMs(tokens));
		if (holder && holder.estimateTransferMs(tokens) < prefillMs * maxFetchTimeFactor) {
			// An engine that already holds the part does not fetch it; the address is given because `isInEngine` may be wrong.
			fetchedTokens += tokens;
			fetchDeadlineMs = Math.min(fetchDeadlineMs ?? Number.POSITIVE_INFINITY, holder.fetchDeadlineMs!);
			return {fetchFrom: holder.address, saveTo, readyMs: isInEngine(id) ? 0 : holder.estimateTransferMs(tokens)};
		}

		if (isInEngine(id)) {
			return {fetchFrom: undefined, saveTo, readyMs: 0};
		}

		const other = findOtherEngine(id);
		if (other !== undefined) {
			fetchedTokens += tokens;
			return {fetchFrom: other, saveTo, readyMs: estimateEngineTransferMs(tokens)};
		}

		missingTokens += tokens;
		return {fetchFrom: undefined, saveTo, readyMs: prefillMs};
	};

	const partPlans = parts.map(({id, tokens}, index): PartTransferPlan => {
		if (index < parts.length - 1) {
			return planPart(id, tokens);
		}

		missingTokens += tokens;
		return {fetchFrom: undefined, saveTo: undefined, readyMs: tokens / prefillTokensPerMs};
	});
	return {
		parts: partPlans, fetchDeadlineMs, missingTokens, fetchedTokens, saves,
	};
}
