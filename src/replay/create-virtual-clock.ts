import TinyQueue from 'tinyqueue';

/** Virtual time with a queue of scheduled actions. */
type VirtualClock = {
	/** Virtual time in milliseconds. */
	readonly now: () => number;
	/** Schedules `action` at a virtual time, or now if that is past; actions of the same time run in the order they were scheduled. */
	readonly at: (time: number, action: () => void) => void;
	/** Runs the scheduled actions in order of time, with those that they schedule, until none is left. */
	readonly run: () => void;
};

/** Creates a virtual clock that starts at 0. */
export function createVirtualClock(): VirtualClock {
	const queue = new TinyQueue<{readonly time: number; readonly order: number; readonly action: () => void}>([], (a, b) => a.time - b.time || a.order - b.order);
	let now = 0;
	let order = 0;
	return {
		now: () => now,
		at(time, action) {
			queue.push({time: Math.max(time, now), order: order++, action});
		},
		run() {
			for (let next = queue.pop(); next; next = queue.pop()) {
				now = next.time;
				next.action();
			}
		},
	};
}
