import {type createVirtualClock} from './create-virtual-clock.js';

/** A link that carries one transfer after the other. */
type LinkModel = {
	/** Sends bytes; gives the time of their arrival. */
	readonly send: (bytes: number, slowdown: number) => number;
	readonly setSpeedFactor: (factor: number) => void;
	readonly busyMs: () => number;
	/** How far the link is behind, in milliseconds. */
	readonly backlogMs: () => number;
};

/** Creates the model of a store's link. */
export function createLinkModel(clock: ReturnType<typeof createVirtualClock>, bytesPerS: number): LinkModel {
	let freeAt = 0;
	let factor = 1;
	let busyMs = 0;
	return {
		send(bytes, slowdown) {
			const tookMs = bytes / bytesPerS / factor * 1000 * slowdown;
			freeAt = Math.max(freeAt, clock.now()) + tookMs;
			busyMs += tookMs;
			return freeAt;
		},
		setSpeedFactor(now) {
			factor = now;
		},
		busyMs: () => busyMs,
		backlogMs: () => Math.max(0, freeAt - clock.now()),
	};
}
