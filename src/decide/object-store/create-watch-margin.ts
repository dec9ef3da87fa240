const minMarginMs = 400;
const maxMarginMs = 1600;
/** The margin is this multiple of the time that the store last took beyond the wait. */
const safetyFactor = 2;

/** Time allowed for the response of a watch beyond its wait, in milliseconds. */
type WatchMargin = {
	readonly ms: () => number;
	/** Records a response and how long after the wait's end it came; negative where a change ended the wait early. */
	readonly recordResponse: (lateMs: number) => void;
	readonly recordTimeout: () => void;
};

/** Creates the margin: short, so that a silent connection is noticed soon, and longer while the store is slow. */
export function createWatchMargin(): WatchMargin {
	let marginMs = minMarginMs;
	const limit = (ms: number): number => Math.min(maxMarginMs, Math.max(minMarginMs, ms));
	return {
		ms: () => marginMs,
		recordResponse(lateMs) {
			if (lateMs >= 0) {
				marginMs = limit(lateMs * safetyFactor);
			}
		},
		recordTimeout() {
			marginMs = limit(marginMs * safetyFactor);
		},
	};
}
