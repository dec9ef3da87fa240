import {type Clocks} from './clocks.js';
import {createSuspendAwareClock} from './create-suspend-aware-clock.js';

/** Creates the clocks of this process. */
export function createClocks(): Clocks {
	const monotonic = (): number => performance.now();
	return {suspendAware: createSuspendAwareClock(monotonic, Date.now), monotonic};
}
