/** A jump of the time of day against the steady clock that is taken for a suspension. */
const minJumpMs = 200;

/**
Creates a clock for leases: the steady clock, which stands still while a machine is suspended, plus every jump forward of the
time of day. A clock that was merely set forward makes leases end early, which is safe.

@param steady - Steady clock in milliseconds.
@param timeOfDay - Time of day in milliseconds.
*/
export function createSuspendAwareClock(steady: () => number, timeOfDay: () => number): () => number {
	let offset = timeOfDay() - steady();
	let addedMs = 0;
	return () => {
		const steadyMs = steady();
		const currentOffset = timeOfDay() - steadyMs;
		if (currentOffset - offset > minJumpMs) {
			addedMs += currentOffset - offset;
		}

		if (Math.abs(currentOffset - offset) > minJumpMs) {
			offset = currentOffset;
		}

		return steadyMs + addedMs;
	};
}
