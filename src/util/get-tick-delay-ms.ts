/** Timers may fire this much early; a tick that is nearer counts as reached. */
const earlyMs = 5;

/** Returns the time until the next multiple of `tickMs` on the clock `now`, in whole milliseconds. */
export function getTickDelayMs(now: number, tickMs: number): number {
	const left = tickMs - (now % tickMs);
	return Math.ceil(left < earlyMs ? left + tickMs : left);
}
