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
	const statedMsPerByte = 1000 / bytesPerS;
	let msPerByte = statedMsPerByte;
	let learnedAt = 0;
	let backlogMs = 0;
	let backlogAt = 0;
	let underWay = 0;

	const rateAt = (now: number): number =>
		statedMsPerByte + ((msPerByte - statedMsPerByte) * (0.5 ** ((now - learnedAt) / recoveryHalfLifeMs)));

	const backlogLeft = (now: number): number => Math.max(0, backlogMs - (now - backlogAt));

	const learnRate = (rate: number, now: number): void => {
		msPerByte = rate;
		learnedAt = now;
	};

	return {
		estimateTransferMs: (bytes, now) => backlogLeft(now) + ((underWay + bytes) * rateAt(now)),
		begin(bytes) {
			underWay += bytes;
		},
		end(bytes, tookMs, now) {
			const rate = rateAt(now);
			const excessMs = Math.max(0, tookMs - (underWay * rate));
			backlogMs = backlogLeft(now) + (backlogSmoothing * (excessMs - backlogLeft(now)));
			backlogAt = now;
			learnRate(rate + (rateSmoothing * ((tookMs / Math.max(1, underWay)) - rate)), now);
			underWay -= bytes;
		},
		fail(bytes, now) {
			underWay -= bytes;
			learnRate(rateAt(now) * failureSlowdown, now);
		},
	};
}
