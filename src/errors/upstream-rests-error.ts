/** Error of a control call that is not sent, since the upstream wants nothing from this host for a time. */
export class UpstreamRestsError extends Error {
	/**
	@param address - Address of the upstream, `IP:PORT`.
	@param restMs - Time left, in milliseconds.
	*/
	constructor(
		readonly address: string,
		readonly restMs: number,
	) {
		super(`${address} asked for rest, ${Math.round(restMs)} ms left`);
		this.name = 'UpstreamRestsError';
	}
}
