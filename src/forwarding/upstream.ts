/** An upstream, as registered in the platform's store. */
export type Upstream = {
	/** Id of one instance of the upstream; other instances may get its address later. */
	readonly id: string;
	readonly service: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly domain: string;
	/** Requests that the upstream runs at the same time. */
	readonly slots: number;
	/** Whether the upstream is draining and gets no new requests. */
	readonly isLeaving: boolean;
	/** Start time in Unix milliseconds; distinguishes two starts under one id. */
	readonly startedAt: number | undefined;
	/** Version of its software; empty where it states none. */
	readonly softwareVersion: string;
	/** How much longer it stays cold, in milliseconds, counted from `coldAnsweredAt`; left out where its entry does not say. */
	readonly coldForMs?: number;
	/** When the store was asked for the entry that states `coldForMs`, in milliseconds of the monotonic clock. */
	readonly coldAskedAt?: number;
	/** When this host received the entry that states `coldForMs`; the same clock. */
	readonly coldAnsweredAt?: number;
	/** Weight version of each loaded model. */
	readonly weights: ReadonlyMap<string, number>;
};
