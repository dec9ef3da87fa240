import {type WaitMemory} from './wait-memory.js';

const halfLifeMs = 1000;

/** Creates the memory of waits; what was learned halves every second, so that a once busy engine is tried again. */
export function createWaitMemory(): WaitMemory {
	const learned = new Map<string, {readonly waitMs: number; readonly at: number}>();
	return {
		learn(engine, waitMs, now) {
			learned.set(engine, {waitMs, at: now});
		},
		expectMs(engine, now) {
			const last = learned.get(engine);
			return last ? last.waitMs * (0.5 ** ((now - last.at) / halfLifeMs)) : 0;
		},
	};
}
