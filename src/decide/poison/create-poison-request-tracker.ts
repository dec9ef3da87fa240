import {type PoisonRequestTracker} from './poison-request-tracker.js';

/** How long a digest stays suspect after the last crash with it in flight. */
const suspectRetentionMs = 600_000;
/** How long a condemned digest is refused. */
const condemnedRetentionMs = 600_000;
/** Time after which an isolated run that has not ended no longer blocks another one. */
const runTimeoutMs = 60_000;
/** Crashes in isolated runs that condemn a digest. */
const isolatedCrashesToCondemn = 1;

/** The state of one suspect or condemned digest. */
type SuspectRecord = {
	readonly expiresAt: number;
	readonly condemned: boolean;
	readonly isolatedCrashes: number;
	/** Id of the isolated run in progress. */
	readonly run: string | undefined;
	readonly runExpiresAt: number;
};

/**
Creates a tracker of requests that may crash engines. The crash that makes a request suspect happened while other requests
were in flight too, so it proves nothing yet. A second crash, with the request alone on an engine, condemns the request: it is
refused until the record expires.
*/
export function createPoisonRequestTracker(): PoisonRequestTracker {
	const records = new Map<string, SuspectRecord>();

	const getUnexpired = (digest: string, now: number): SuspectRecord | undefined => {
		const record = records.get(digest);
		if (record && record.expiresAt <= now) {
			records.delete(digest);
			return undefined;
		}

		return record;
	};

	return {
		suspect(digest, now) {
			const known = getUnexpired(digest, now);
			records.set(digest, {
				expiresAt: now + suspectRetentionMs,
				condemned: known?.condemned ?? false,
				isolatedCrashes: known?.isolatedCrashes ?? 0,
				run: known?.run,
				runExpiresAt: known?.runExpiresAt ?? 0,
			});
		},
		begin(digest, run, now) {
			const record = getUnexpired(digest, now);
			if (!record) {
				return 'clear';
			}

			if (record.condemned) {
				return 'condemned';
			}

			if (record.run !== undefined && record.run !== run && record.runExpiresAt > now) {
				return 'wait';
			}

			records.set(digest, {...record, run, runExpiresAt: now + runTimeoutMs});
			return 'run-alone';
		},
		end(digest, run, crashed, now) {
			const record = getUnexpired(digest, now);
			if (record?.run !== run) {
				return record?.condemned ? 'condemned' : 'clear';
			}

			if (!crashed) {
				records.delete(digest);
				return 'clear';
			}

			const isolatedCrashes = record.isolatedCrashes + 1;
			const condemned = isolatedCrashes >= isolatedCrashesToCondemn;
			records.set(digest, {
				expiresAt: now + condemnedRetentionMs, condemned, isolatedCrashes, run: undefined, runExpiresAt: 0,
			});
			return condemned ? 'condemned' : 'run-alone';
		},
		cancelRun(digest, run) {
			const record = records.get(digest);
			if (record?.run === run) {
				records.set(digest, {...record, run: undefined, runExpiresAt: 0});
			}
		},
		condemn(digest, now, forMs = condemnedRetentionMs) {
			records.set(digest, {
				expiresAt: now + forMs, condemned: true, isolatedCrashes: isolatedCrashesToCondemn, run: undefined, runExpiresAt: 0,
			});
		},
		clear(digest) {
			records.delete(digest);
		},
		isCondemned: (digest, now) => getUnexpired(digest, now)?.condemned ?? false,
		isSuspect: (digest, now) => getUnexpired(digest, now) !== undefined,
	};
}
