import {type UnfinishedSave} from '../../forwarding/unfinished-save.js';
import {formatPartKey} from './format-part-key.js';

/** A save that has not grown for this long has broken off; a slow link moves a block in a fraction of it. */
const stalledMs = 15_000;

/**
Creates the function that finds saves that broke off, from the unfinished parts of one listing after the other. Their room
stays taken until they are freed. Load pattern: engines that crash again and again while they save, which fills a store that
evicts nothing.
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
