import {type Metrics} from '../observe/metrics.js';
import {createCallerLimits} from './create-caller-limits.js';

const minBodyBytesPerS = 8192;

/** Creates the limits on what callers take of a host with its own interface, which follow from the limits that the system sets. */
export function createHostCallerLimits(metrics: Metrics): ReturnType<typeof createCallerLimits> {
	return createCallerLimits({
		stated: {minBodyBytesPerS},
		freeResponseBytes: 0,
		onLimit(reason) {
			metrics.callerLimits.inc({reason});
		},
		recordPeaks({heldBytes, descriptors}) {
			metrics.peakHeldBytes.set(heldBytes);
			metrics.peakDescriptors.set(descriptors);
		},
	});
}
