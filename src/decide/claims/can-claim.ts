/**
Least processor of a host that claims, in cores. On hosts with an eighth of a core, what claims cost made requests later than the better choice of
upstreams saved.
*/
const minProcessorCores = 0.5;

/** Returns whether a host has the processor for claims; one that states nothing of its processor has. */
export function canClaim({cpuShare = 1, cores = 1}: {readonly cpuShare?: number | undefined; readonly cores?: number | undefined}): boolean {
	return cpuShare * cores >= minProcessorCores;
}
