import TinyQueue from 'tinyqueue';

/** Virtual time and what is due in it. */
type VirtualClock = {
	/** Virtual time in milliseconds. */
	readonly now: () => number;
	/** Runs `action` at a virtual time; actions of the same time run in the order of their calls. */
	readonly at: (time: number, action: () => void) => void;
	/** Runs everything that is due until nothing is left. */
	readonly run: () => void;
};

/** Creates virtual time, beginning at 0. */
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
