import {type LinkEstimator} from './link-estimator.js';

const rateSmoothing = 0.1;
const backlogSmoothing = 0.5;
const recoveryHalfLifeMs = 10_000;
const failureSlowdown = 2;

/**
Creates the estimate of a link that starts from its stated speed in bytes a second.

A transfer that takes longer than expected tells of other hosts' transfers before it: that backlog drains in real time.
What is left over slows the learned rate, which recovers towards the stated one, so that a link that was once slow is
tried again.
*/
export function createLinkEstimator(bytesPerS: number): LinkEstimator {
	const configuredMsPerByte = 1000 / bytesPerS;
	let msPerByte = configuredMsPerByte;
	let rateUpdatedAt = 0;
	let backlogMs = 0;
	let backlogUpdatedAt = 0;
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
