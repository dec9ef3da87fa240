const msPerS = 1000;

/** Progress of a body that is arriving. */
type BodyProgress = {
	readonly receivedBytes: number;
	/** Time since the request began, without the time for which this host did not read. */
	readonly elapsedMs: number;
	/** Time for which a body may have any rate. */
	readonly graceMs: number;
	readonly minBytesPerS: number;
};

/** Returns whether a body is slower than the least rate over its whole time. Answers callers that send a byte now and then to keep what they hold. */
export function isBodyTooSlow({receivedBytes, elapsedMs, graceMs, minBytesPerS}: BodyProgress): boolean {
	return receivedBytes < (elapsedMs - graceMs) * minBytesPerS / msPerS;
}
