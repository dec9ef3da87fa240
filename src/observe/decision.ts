/** One decision about a request, as logged and as `explain` shows it. Holds no prompt text and no keys. */
export type Decision = {
	readonly at: number;
	readonly host: string;
	readonly requestId: string;
	/** What was decided, such as `route`, `grant`, `resume`, `refuse`. */
	readonly what: string;
	/** Engines, services or hosts that were weighed, with their scores. */
	readonly candidates?: ReadonlyArray<Readonly<Record<string, unknown>>>;
	readonly reason: string;
};
