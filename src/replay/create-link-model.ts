import {type createVirtualClock} from './create-virtual-clock.js';

/** A link that carries one transfer after the other. */
type LinkModel = {
	/** Sends bytes; gives the time of their arrival. */
	readonly send: (bytes: number, slowdown: number) => number;
	readonly setSpeedFactor: (speedFactor: number) => void;
	readonly busyMs: () => number;
	/** How far the link is behind, in milliseconds. */
	readonly backlogMs: () => number;
};

/** Creates the model of a store's link. */
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
