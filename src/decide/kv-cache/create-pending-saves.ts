import {type PendingSaves} from './pending-saves.js';
import {formatPartKey} from './format-part-key.js';

/** A save is considered lost if the store's events have not shown it after this time. */
const saveTimeoutMs = 4000;

/** Creates the list of pending saves. */
export function createPendingSaves(): PendingSaves {
	const saves = new Map<string, {readonly scope: string; readonly part: string; readonly tokens: number; readonly at: number}>();
	let hasLostSave = false;

	return {
		record(scope, part, tokens, now) {
			saves.set(formatPartKey(scope, part), {
				scope, part, tokens, at: now,
			});
		},
		has(scope, part, now) {
			const save = saves.get(formatPartKey(scope, part));
			return save !== undefined && now - save.at <= saveTimeoutMs;
		},
		sweep(isStored, now) {
			let tokens = 0;
			for (const [key, save] of saves) {
				const hasTimedOut = now - save.at > saveTimeoutMs;
				const isInStore = isStored(save.scope, save.part);
				hasLostSave ||= hasTimedOut && !isInStore;
				if (hasTimedOut || isInStore) {
					saves.delete(key);
				} else {
					tokens += save.tokens;
				}
			}

			return tokens;
		},
		consumeLossFlag() {
			const hadLostSave = hasLostSave;
			hasLostSave = false;
			return hadLostSave;
		},
	};
}
