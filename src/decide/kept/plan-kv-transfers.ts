import {type KvStoreView} from './kv-store-view.js';
import {type KvTransferPlan} from './kv-transfer-plan.js';
import {type PartTransferPlan} from './part-transfer-plan.js';

/** What a plan is made from. */
type KvTransferInput = {
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** Whether the engine is believed to hold a part. */
	readonly isInEngine: (part: string) => boolean;
	/** Another engine that is believed to hold a part. */
	readonly findOtherEngine: (part: string) => string | undefined;
	readonly stores: readonly KvStoreView[];
	/** Whether a save of the part is under way. */
	readonly isBeingSaved: (part: string) => boolean;
	readonly prefillTokensPerMs: number;
	/** Time to move so many tokens between two engines, in milliseconds. */
	readonly estimateEngineTransferMs: (tokens: number) => number;
};

/** A fetch is worth while below this multiple of the time to read the part anew, since reading also holds up others. */
const maxFetchTimeFactor = 6;

/**
Plans where each part of a prompt comes from: the engine's own memory, a store that holds it whole, another engine that read
it lately, or reading it anew; and which shared parts are saved, and where. The last part belongs to one session and is
neither fetched nor saved. Load pattern: callers that return after their context has left the engines' memory, with far more
shared context than that memory holds.
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
		const readyMs = tokens / prefillTokensPerMs;
		const [holder] = listReadableStores(id).toSorted((a, b) => a.estimateTransferMs(tokens) - b.estimateTransferMs(tokens));
		if (holder && holder.estimateTransferMs(tokens) < readyMs * maxFetchTimeFactor) {
			// An engine that holds the part fetches nothing; the address is there for the case that it does not.
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
		return {fetchFrom: undefined, saveTo, readyMs};
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
