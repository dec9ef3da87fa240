/** Most hosts that are told of a stream, besides the one that begins it. */
const maxCopies = 4;

/**
How many other hosts learn of a stream, besides the one that begins it: `most` of those in reach, and `fewest` of all, where it begins at another version
than the oldest.

@param hosts - Number of hosts of the system, including the one that begins the stream.
*/
export const streamCopies = {
	most: maxCopies,
	fewest: (hosts: number): number => Math.min(maxCopies, Math.floor(hosts / 2)),
} as const;
