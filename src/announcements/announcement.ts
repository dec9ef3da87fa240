/** What an upstream says of itself in the head of a response. */
export type Announcement = {
	/** Requests a second that it takes from all hosts together; `NaN` when it states something else, `undefined` when it states none. */
	readonly requestsPerS: number | undefined;
	/** Requests a second that it can turn away for want of room without falling over; `NaN` and `undefined` as above. */
	readonly turnedAwayPerS: number | undefined;
	/** How much longer it stays cold, in milliseconds; left out where it does not say. */
	readonly coldForMs?: number;
	/** Whether it leaves. */
	readonly isLeaving: boolean;
};
