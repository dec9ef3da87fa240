import {toDelayMs} from './to-delay-ms.js';

/** Creates a signal that is aborted after `ms` milliseconds. Unlike `AbortSignal.timeout` it accepts any number. */
export function createTimeoutSignal(ms: number): AbortSignal {
	return AbortSignal.timeout(toDelayMs(ms));
}
