import {type UnfinishedSave} from '../../forwarding/unfinished-save.js';
import {formatPartKey} from './format-part-key.js';

/** A save without progress for this long is abandoned; even a slow link transfers a block in a fraction of this time. */
const stalledMs = 15_000;

/**
Creates the function that finds abandoned saves by comparing the unfinished parts of successive listings. An abandoned save occupies
space in the store until it is freed. Fault pattern: engines that crash repeatedly while they save, which fills a store that evicts
nothing.
*/
export function createAbandonedSaveDetector() {
	let lastProgress = new Map<string, {readonly tokens: number; readonly at: number}>();

	return (unfinished: readonly UnfinishedSave[], now: number): readonly UnfinishedSave[] => {
		const previous = lastProgress;
		lastProgress = new Map(unfinished.map(({scope, part, doneTokens}) => {
			const key = formatPartKey(scope, part);
			const before = previous.get(key);
			return [key, before?.tokens === doneTokens ? before : {tokens: doneTokens, at: now}];
		}));
		return unfinished.filter(({scope, part}) => now - lastProgress.get(formatPartKey(scope, part))!.at >= stalledMs);
	};
}
