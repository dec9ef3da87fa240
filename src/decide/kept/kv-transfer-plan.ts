import {type PartTransferPlan} from './part-transfer-plan.js';

/** What is planned for a prompt at one engine. */
export type KvTransferPlan = {
	readonly parts: readonly PartTransferPlan[];
	/** Limit of the fetches on the stores' clock. */
	readonly fetchDeadlineMs: number | undefined;
	/** Tokens that the engine reads by itself. */
	readonly missingTokens: number;
	/** Tokens that are fetched from a store or another engine. */
	readonly fetchedTokens: number;
	/** Names of the parts to be saved, with their store. */
	readonly saves: ReadonlyArray<{readonly store: string; readonly part: string; readonly tokens: number}>;
};
