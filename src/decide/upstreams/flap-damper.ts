/** Damps the leaving mark of one upstream. */
export type FlapDamper = {
	/** Takes a report; gives whether the upstream counts as leaving now. */
	readonly observe: (leaving: boolean, now: number) => boolean;
};
