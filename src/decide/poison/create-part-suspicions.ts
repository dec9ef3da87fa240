import {type CrashedRequest} from './crashed-request.js';
import {type PartSuspicion} from './part-suspicion.js';
import {poisonLimits} from './poison-limits.js';

const {retentionMs, separationMs, maxSuspectParts, maxPartsPerRequest} = poisonLimits;

/** Counts the crashes of upstreams by the parts of the prompts that were in flight. */
type PartSuspicions = {
	/** Records a request that was in flight at a crash. */
	readonly record: (key: string, request: CrashedRequest, now: number) => void;
	/** Takes a crash off all parts but these. */
	readonly discount: (key: string, except: readonly string[]) => void;
	readonly clear: (part: string) => void;
	readonly has: (part: string) => boolean;
	/** Returns the suspicions of the parts that have one. */
	readonly list: (parts: readonly string[]) => readonly PartSuspicion[];
	readonly dropExpired: (now: number) => void;
};

/** Creates the counts. Crashes at nearly the same moment count once for a part: none of them can have followed another. */
export function createPartSuspicions(): PartSuspicions {
	const suspicions = new Map<string, PartSuspicion>();

	const removeOldest = (entries: Map<string, unknown>, limit: number): void => {
		for (const key of entries.keys()) {
			if (entries.size <= limit) {
				return;
			}

			entries.delete(key);
		}
	};

	const recordPart = (part: string, key: string, {parts, workspace}: CrashedRequest, now: number): void => {
		const others = parts.filter(other => other !== part);
		const known = suspicions.get(part);
		if (!known) {
			suspicions.set(part, {
				part, keys: new Set([key]), lastCountedAt: now, companions: new Set(others), workspaces: new Set([workspace]),
			});
			return;
		}

		if (!known.keys.has(key) && now - known.lastCountedAt < separationMs) {
			return;
		}

		if (!known.keys.has(key)) {
			known.keys.add(key);
			known.lastCountedAt = now;
		}

		known.companions = new Set(others.filter(other => known.companions.has(other)));
		known.workspaces.add(workspace);
	};

	return {
		record(key, request, now) {
			for (const part of new Set(request.parts.slice(0, maxPartsPerRequest))) {
				recordPart(part, key, request, now);
			}

			removeOldest(suspicions, maxSuspectParts);
		},
		discount(key, except) {
			for (const [part, {keys}] of suspicions) {
				if (!except.includes(part) && keys.delete(key) && keys.size === 0) {
					suspicions.delete(part);
				}
			}
		},
		clear(part) {
			suspicions.delete(part);
		},
		has: part => suspicions.has(part),
		list: parts => parts.flatMap(part => suspicions.get(part) ?? []),
		dropExpired(now) {
			for (const [part, {lastCountedAt}] of suspicions) {
				// Remembered for as long again as a refusal lasts, after which one more crash is enough.
				if (now - lastCountedAt > 2 * retentionMs) {
					suspicions.delete(part);
				}
			}
		},
	};
}
