/** Contact of a host with an upstream, which tells whether it may have started again unnoticed. Times are in milliseconds of the monotonic clock. */
export type UpstreamContact = {
	/** When a connection to it was opened last. */
	openedAt: number;
	/** When a connection to it broke last, or could not be opened. */
	brokenAt: number;
	/** When it was asked which start it is, the last time that it said so, and when it did. */
	askedAt: number;
	toldAt: number;
	/** When it last did not say so. */
	untoldAt: number;
};
