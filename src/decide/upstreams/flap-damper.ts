/** Delays the end of an upstream's leaving state, so that an upstream that often starts and stops leaving stays out of use. */
export type FlapDamper = {
	/** Records a report at `now`, in milliseconds; returns whether the upstream counts as leaving. */
	readonly observe: (leaving: boolean, now: number) => boolean;
};
