import {readdirSync} from 'node:fs';
import {createBodyBudget} from '../decide/bodies/create-body-budget.js';
import {deriveConnectionLimits} from '../decide/bodies/derive-connection-limits.js';
import {deriveMemoryLimits} from '../decide/bodies/derive-memory-limits.js';
import {log} from '../observe/log.js';
import {readMachineLimits} from '../settings/read-machine-limits.js';
import {createByteBudget} from '../util/create-byte-budget.js';
import {every} from '../util/every.js';
import {type CallerLoadLimits} from './caller-load-limits.js';
import {type LimitReason} from './limit-reason.js';

const sampleMs = 5000;
/** A peak is logged when it exceeds the last logged one by this factor, so that lines are few. */
const loggedGrowth = 1.25;
const minLoggedBytes = 1024 * 1024;
const minLoggedDescriptors = 256;

/** Options of `createCallerLimits`. */
type CallerLimitsOptions = {
	readonly stated: {readonly memoryMb?: number | undefined; readonly maxFds?: number | undefined; readonly minBodyBytesPerS: number};
	/** What one response may keep besides. */
	readonly freeResponseBytes: number;
	/** Called for each request that is refused and each connection that is closed because of a limit. */
	readonly onLimit: (reason: LimitReason) => void;
	readonly recordPeaks: (peaks: {readonly heldBytes: number; readonly descriptors: number}) => void;
};

function countDescriptors(): number {
	try {
		return readdirSync('/proc/self/fd').length;
	} catch {
		// Not on Linux.
		return 0;
	}
}

/** Creates the limits on what all callers together take of a host, from the limits of its machine. */
export function createCallerLimits({stated, freeResponseBytes, onLimit, recordPeaks}: CallerLimitsOptions) {
	const {memoryBytes, descriptors} = readMachineLimits(stated);
	const {heldBytes, responseBytes} = deriveMemoryLimits(memoryBytes);
	const connections = deriveConnectionLimits(descriptors, memoryBytes);
	/** Responses have this part, and what bodies leave of the rest. */
	const keptBytes = createByteBudget(() => Math.min(responseBytes, heldBytes - bodies.heldBytes()), freeResponseBytes);
	const bodies = createBodyBudget(() => heldBytes - keptBytes.totalBytes());
	const counts = new Map<LimitReason, number>();
	const load: CallerLoadLimits = {
		bodies,
		minBodyBytesPerS: stated.minBodyBytesPerS,
		onLimit(reason) {
			counts.set(reason, (counts.get(reason) ?? 0) + 1);
			onLimit(reason);
		},
	};
	let peakDescriptors = 0;
	let logged = {heldBytes: minLoggedBytes, descriptors: minLoggedDescriptors};
	const stopSampling = every(sampleMs, 'sampling what callers take', () => {
		peakDescriptors = Math.max(peakDescriptors, countDescriptors());
		const peaks = {heldBytes: bodies.peakBytes(), descriptors: peakDescriptors};
		recordPeaks(peaks);
		if (counts.size > 0) {
			log.warn({reasons: Object.fromEntries(counts), heldBytes: bodies.heldBytes(), limitBytes: heldBytes}, 'callers were refused or disconnected at limits');
			counts.clear();
		}

		if (peaks.heldBytes >= logged.heldBytes * loggedGrowth || peaks.descriptors >= logged.descriptors * loggedGrowth) {
			logged = {heldBytes: Math.max(logged.heldBytes, peaks.heldBytes), descriptors: Math.max(logged.descriptors, peaks.descriptors)};
			log.info({...peaks, limitBytes: heldBytes, maxDescriptors: descriptors}, 'callers take more of this host than before');
		}
	});
	log.info({
		memoryMb: Math.round(memoryBytes / minLoggedBytes), descriptors, heldBytes, responseBytes, connections,
	}, 'limits of this host');
	return {
		keptBytes, load, connections, stop: stopSampling,
	};
}
