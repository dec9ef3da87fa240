import {type PoisonRequestTracker} from './poison-request-tracker.js';

const suspectMs = 600_000;
const condemnedMs = 600_000;
const runLimitMs = 60_000;
const crashesAloneToCondemn = 1;

/** What is known of one digest. */
type Suspicion = {
	readonly until: number;
	readonly condemned: boolean;
	readonly crashesAlone: number;
	readonly run: string | undefined;
	readonly runUntil: number;
};

/**
Creates the register of suspects. The crash that makes a suspect happened in company; the next one, alone on an engine,
is the second and condemns.
*/
export function createPoisonRequestTracker(): PoisonRequestTracker {
	const records = new Map<string, Suspicion>();

	const get = (digest: string, now: number): Suspicion | undefined => {
		const record = records.get(digest);
		if (record && record.until <= now) {
			records.delete(digest);
			return undefined;
		}

		return record;
	};

	return {
		suspect(digest, now) {
			const known = get(digest, now);
			records.set(digest, {
				until: now + suspectMs,
				condemned: known?.condemned ?? false,
				crashesAlone: known?.crashesAlone ?? 0,
				run: known?.run,
				runUntil: known?.runUntil ?? 0,
			});
		},
		begin(digest, run, now) {
			const record = get(digest, now);
			if (!record) {
				return 'clear';
			}

			if (record.condemned) {
				return 'condemned';
			}

			if (record.run !== undefined && record.run !== run && record.runUntil > now) {
				return 'wait';
			}

			records.set(digest, {...record, run, runUntil: now + runLimitMs});
			return 'run-alone';
		},
		end(digest, run, crashed, now) {
			const record = get(digest, now);
			if (record?.run !== run) {
				return record?.condemned ? 'condemned' : 'clear';
			}

			if (!crashed) {
				records.delete(digest);
				return 'clear';
			}

			const crashesAlone = record.crashesAlone + 1;
			const condemned = crashesAlone >= crashesAloneToCondemn;
			records.set(digest, {
				until: now + condemnedMs, condemned, crashesAlone, run: undefined, runUntil: 0,
			});
			return condemned ? 'condemned' : 'run-alone';
		},
		cancelRun(digest, run) {
			const record = records.get(digest);
			if (record?.run === run) {
				records.set(digest, {...record, run: undefined, runUntil: 0});
			}
		},
		condemn(digest, now) {
			records.set(digest, {
				until: now + condemnedMs, condemned: true, crashesAlone: crashesAloneToCondemn, run: undefined, runUntil: 0,
			});
		},
		clear(digest) {
			records.delete(digest);
		},
		isCondemned: (digest, now) => get(digest, now)?.condemned ?? false,
		isSuspect: (digest, now) => get(digest, now) !== undefined,
	};
}
