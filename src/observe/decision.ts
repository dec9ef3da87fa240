/** One decision about a request, as logged and as `explain` shows it. Contains no prompt text and no keys. */
export type Decision = {
	/** Time of the decision, in milliseconds since the epoch. */
	readonly at: number;
	readonly host: string;
	readonly requestId: string;
	/** What was decided, such as `route`, `grant`, `resume`, `refuse`. */
	readonly what: string;
	/** Engines, services or hosts that were considered, with their scores. */
	readonly candidates?: ReadonlyArray<Readonly<Record<string, unknown>>>;
	/** Why it was decided so, as text for operators. */
	readonly reason: string;
};
