/** A stated limit, or its end, as hosts report it to each other. */
export type ReportedLimit = {
	/** Id of the upstream. */
	readonly id: string;
	/** Start of the upstream, in Unix milliseconds; left out where unknown. */
	readonly startedAt?: number | undefined;
	/** What the number states; left out for a limit on requests. */
	readonly kind?: 'brittle' | 'leaving';
	/** Requests a second; left out where the limit has ended. */
	readonly perS?: number | undefined;
	/** Time since the request was sent whose response stated it, in milliseconds. */
	readonly askedAgeMs: number;
	/** Time since that response arrived, in milliseconds. */
	readonly answeredAgeMs: number;
};
