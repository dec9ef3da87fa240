import {PlatformUnavailableError} from '../../src/errors/platform-unavailable-error.js';
import {type PlatformObject} from '../../src/platform/platform-object.js';
import {type Platform} from '../../src/platform/platform.js';

/** Probability of each kind of failure per call, from 0 to 1. */
export type PlatformFaultRates = {
	/** The call fails without an effect. */
	readonly refused: number;
	/** The write takes effect, but its response is lost. */
	readonly lost: number;
	/** The write reports a timeout and takes effect a few calls later. */
	readonly late: number;
	/** The read returns the previous version. */
	readonly stale: number;
};

/** Creates an in-memory platform that fails at the given rates. */
export function createFakePlatform(random: () => number, faults: PlatformFaultRates): Platform & {readonly objects: ReadonlyMap<string, PlatformObject>; readonly writes: () => number} {
	const objects = new Map<string, PlatformObject>();
	const previousVersions = new Map<string, PlatformObject>();
	const late: Array<() => void> = [];
	let writes = 0;

	const apply = (key: string, value: string, expected: number): number | undefined => {
		const current = objects.get(key);
		if ((current?.version ?? 0) !== expected) {
			return undefined;
		}

		if (Buffer.byteLength(value) > 1024 * 1024) {
			throw new Error(`value of ${key} exceeds 1 MiB`);
		}

		if (current) {
			previousVersions.set(key, current);
		}

		objects.set(key, {key, version: expected + 1, value});
		return expected + 1;
	};

	const yieldAndApplyDelayed = async (): Promise<void> => {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		if (late.length > 0 && random() < 0.3) {
			late.splice(Math.floor(random() * late.length), 1)[0]!();
		}
	};

	return {
		objects,
		writes: () => writes,
		async read(key) {
			await yieldAndApplyDelayed();
			if (random() < faults.refused) {
				throw new PlatformUnavailableError('refused', 'no');
			}

			return random() < faults.stale ? previousVersions.get(key) ?? objects.get(key) : objects.get(key);
		},
		async write(key, value, expected) {
			await yieldAndApplyDelayed();
			writes++;
			if (random() < faults.refused) {
				throw new PlatformUnavailableError('refused', 'no');
			}

			if (random() < faults.late) {
				late.push(() => {
					apply(key, value, expected);
				});
				throw new PlatformUnavailableError('timeout', 'unknown');
			}

			const version = apply(key, value, expected);
			if (random() < faults.lost) {
				throw new PlatformUnavailableError('response lost', 'unknown');
			}

			await yieldAndApplyDelayed();
			return version;
		},
		async watch(key, after) {
			const object = objects.get(key);
			return object && object.version > after ? object : undefined;
		},
		list: async prefix => [...objects.keys()].filter(key => key.startsWith(prefix)),
		hosts: async () => [],
	};
}
