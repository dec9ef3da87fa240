import {type LinkEstimate} from './link-estimate.js';

const smoothing = 0.2;
const failureSlowdown = 2;

/** Creates the estimate of a link that starts from its stated speed in bytes a second. */
export function createLinkEstimate(bytesPerS: number): LinkEstimate {
	let msPerByte = 1000 / bytesPerS;
	let underWay = 0;
	return {
		expectMs: bytes => (underWay + bytes) * msPerByte,
		begin(bytes) {
			underWay += bytes;
		},
		end(bytes, tookMs) {
			// What was already under way shared the link, so the time is put to all of it.
			msPerByte += smoothing * ((tookMs / Math.max(1, underWay)) - msPerByte);
			underWay -= bytes;
		},
		fail(bytes) {
			underWay -= bytes;
			msPerByte *= failureSlowdown;
		},
	};
}
