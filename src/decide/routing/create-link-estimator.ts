import {type LinkEstimator} from './link-estimator.js';

const rateSmoothing = 0.1;
const backlogSmoothing = 0.5;
const recoveryHalfLifeMs = 10_000;
const failureSlowdown = 2;

/**
Creates the estimator of a link, starting from its configured speed.

A transfer that takes longer than expected indicates a backlog of other hosts' transfers, which drains in real time. It also raises the
learned time per byte, which then returns to the configured value with a half-life, so that a link that was once slow is tried again.

@param bytesPerS - Configured speed in bytes per second.
*/
export function createLinkEstimator(bytesPerS: number): LinkEstimator {
	const configuredMsPerByte = 1000 / bytesPerS;
	let msPerByte = configuredMsPerByte;
	let rateUpdatedAt = 0;
	let backlogMs = 0;
	let backlogUpdatedAt = 0;
	/** Bytes of this host's transfers under way. */
	let underWay = 0;

	const msPerByteAt = (now: number): number =>
		configuredMsPerByte + ((msPerByte - configuredMsPerByte) * (0.5 ** ((now - rateUpdatedAt) / recoveryHalfLifeMs)));

	const backlogMsAt = (now: number): number => Math.max(0, backlogMs - (now - backlogUpdatedAt));

	const setMsPerByte = (newMsPerByte: number, now: number): void => {
		msPerByte = newMsPerByte;
		rateUpdatedAt = now;
	};

	return {
		estimateTransferMs: (bytes, now) => backlogMsAt(now) + ((underWay + bytes) * msPerByteAt(now)),
		begin(bytes) {
			underWay += bytes;
		},
		end(bytes, tookMs, now) {
			const expectedMsPerByte = msPerByteAt(now);
			const excessMs = Math.max(0, tookMs - (underWay * expectedMsPerByte));
			backlogMs = backlogMsAt(now) + (backlogSmoothing * (excessMs - backlogMsAt(now)));
			backlogUpdatedAt = now;
			setMsPerByte(expectedMsPerByte + (rateSmoothing * ((tookMs / Math.max(1, underWay)) - expectedMsPerByte)), now);
			underWay -= bytes;
		},
		fail(bytes, now) {
			underWay -= bytes;
			setMsPerByte(msPerByteAt(now) * failureSlowdown, now);
		},
	};
}
