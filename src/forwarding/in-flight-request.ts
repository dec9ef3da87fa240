/** A request on its way. */
export type InFlightRequest = {
	/**
	Gives the request up and closes its connection, unless it has ended.
	@param isFault - Whether the upstream is at fault.
	*/
	readonly abort: (reason: Error, isFault: boolean) => void;
	readonly resume: () => void;
};
