import {type PartTransferPlan} from './part-transfer-plan.js';

/** Planned KV transfers of a prompt at one engine. */
export type KvTransferPlan = {
	/** Plans for the prompt's parts, in order. */
	readonly parts: readonly PartTransferPlan[];
	/** Earliest deadline of the fetches from stores, each by its store's clock; `undefined` when nothing is fetched from a store. */
	readonly fetchDeadlineMs: number | undefined;
	/** Tokens that the engine has to prefill. */
	readonly missingTokens: number;
	/** Tokens that are fetched from a store or another engine. */
	readonly fetchedTokens: number;
	/** Parts to be saved, each with the name of its store. */
	readonly saves: ReadonlyArray<{readonly store: string; readonly part: string; readonly tokens: number}>;
};
