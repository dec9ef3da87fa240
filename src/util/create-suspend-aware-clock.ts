/** Smallest jump of the wall clock relative to the monotonic clock that counts as a suspension. */
const minJumpMs = 200;

/**
Creates the clock for what this host itself may do: the monotonic clock, which stops while the machine is suspended, plus every forward
jump of the wall clock. A wall clock that was only set forward makes a right expire early, which is safe; the clock must not measure waits
for others, which would end early too. A suspension in which the wall clock is set back is seen only in part.

@param monotonicNow - Monotonic clock in milliseconds.
@param wallClockNow - Wall clock in milliseconds.
*/
export function createSuspendAwareClock(monotonicNow: () => number, wallClockNow: () => number): () => number {
	let offset = wallClockNow() - monotonicNow();
	let addedMs = 0;
	return () => {
		const monotonicMs = monotonicNow();
		const currentOffset = wallClockNow() - monotonicMs;
		if (currentOffset - offset > minJumpMs) {
			addedMs += currentOffset - offset;
		}

		if (Math.abs(currentOffset - offset) > minJumpMs) {
			offset = currentOffset;
		}

		return monotonicMs + addedMs;
	};
}
