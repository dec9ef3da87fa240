import {type FairItem} from '../fairness/fair-item.js';

/** A slot of an engine that a receiving host uses. */
export type RunningGrant = {
	readonly engine: string;
	readonly host: string;
	readonly alone: boolean;
	readonly item: FairItem;
};
