import {type createVirtualClock} from './create-virtual-clock.js';

/** Simulated link that carries one transfer at a time. */
type LinkModel = {
	/** Queues a transfer and returns its arrival in virtual time; `slowdown` multiplies the transfer time. */
	readonly send: (bytes: number, slowdown: number) => number;
	/** Sets the factor that multiplies the link's speed for transfers queued from now on. */
	readonly setSpeedFactor: (speedFactor: number) => void;
	/** Total transfer time so far, in milliseconds. */
	readonly busyMs: () => number;
	/** Time until all queued transfers have arrived, in milliseconds. */
	readonly backlogMs: () => number;
};

/** Creates the simulated link of a KV store. */
export function createLinkModel(clock: ReturnType<typeof createVirtualClock>, bytesPerS: number): LinkModel {
	let availableAt = 0;
	let speedFactor = 1;
	let busyMs = 0;
	return {
		send(bytes, slowdown) {
			const transferMs = bytes / bytesPerS / speedFactor * 1000 * slowdown;
			availableAt = Math.max(availableAt, clock.now()) + transferMs;
			busyMs += transferMs;
			return availableAt;
		},
		setSpeedFactor(value) {
			speedFactor = value;
		},
		busyMs: () => busyMs,
		backlogMs: () => Math.max(0, availableAt - clock.now()),
	};
}
