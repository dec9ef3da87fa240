/** Delays the removal of an upstream's leaving mark, so that an upstream whose mark changes often stays out of use. */
export type FlapDamper = {
	/** Records a report at `now`, in milliseconds; returns whether the upstream counts as leaving. */
	readonly observe: (leaving: boolean, now: number) => boolean;
};
