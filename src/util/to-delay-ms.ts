/** Longest delay of a timer, in milliseconds; the runtime takes a longer one for 1 ms. */
const maxDelayMs = (2 ** 31) - 1;

/**
Converts a computed duration to a delay that timers and timeout signals accept: whole milliseconds, rounded up, from 0 to about 24.8 days.
A duration that is no number counts as 0.
*/
export function toDelayMs(ms: number): number {
	return Number.isNaN(ms) ? 0 : Math.min(maxDelayMs, Math.max(0, Math.ceil(ms)));
}
