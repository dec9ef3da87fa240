/** An upstream with requests under way. */
type BusyLink = {
	readonly id: string;
	/** Time since its last byte, or since its oldest request was sent if that is shorter, in milliseconds. */
	readonly silentMs: number;
};

/** With several silent upstreams and no byte from any, this is longer than a prompt takes that is expected on time. */
const severalSilentMs = 600;
/** A sound upstream may be silent for a second. */
const oneSilentMs = 1500;
const minSilent = 2;

/**
Returns the upstreams whose links may be lost, as far as their silence tells. Fault pattern: a partition that leaves connections open, so that
requests hang on them.

@param sinceContactMs - Time since any upstream was heard, in milliseconds.
*/
export function findSuspectedLinks(links: readonly BusyLink[], sinceContactMs: number): readonly string[] {
	const silent = links.filter(({silentMs}) => silentMs >= severalSilentMs);
	const areAllSilent = silent.length >= minSilent && sinceContactMs >= severalSilentMs;
	return (areAllSilent ? silent : silent.filter(({silentMs}) => silentMs >= oneSilentMs)).map(({id}) => id);
}
