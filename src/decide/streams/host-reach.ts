/** Whether a host and the others hear each other. Times are in milliseconds. */
export type HostReach = {
	/** Time since any message of another host arrived; `undefined` when none has. */
	readonly heardAgeMs: number | undefined;
	/** Time without a message after which the other hosts are out of reach. */
	readonly silentAfterMs: number;
	/** Whether all hosts with a recent report say that they don't hear this one. */
	readonly isUnheard: boolean;
};
