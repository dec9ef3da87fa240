import {type PartNews} from './part-news.js';
import {type PartPosition} from './part-position.js';
import {type KeptNews} from './kept-news.js';
import {type Service} from './service.js';
import {type KeptStore} from './kept-store.js';

/** Follows the stores of kept context. */
export type KeptTask = {
	/** Takes the stores of the configuration in force. */
	readonly apply: (services: readonly Service[]) => void;
	readonly stores: () => readonly KeptStore[];
	/** Whether this host is the one that polls a store. */
	readonly isPoller: (store: string) => boolean;
	readonly take: (news: KeptNews) => void;
	/** What this host knows of a store, from what another one knows on where that is possible. */
	readonly list: (store: string, known?: PartPosition) => {readonly news: PartNews | null; readonly isWhole: boolean};
	/** Notes that a part is being saved. */
	readonly noteSave: (store: string, scope: string, part: string, tokens: number) => void;
	readonly isBeingSaved: (scope: string, part: string) => boolean;
	readonly stop: () => void;
};
