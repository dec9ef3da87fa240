const bytesPerMiB = 1024 * 1024;
/** Resident memory of a host that holds no bodies, at its peak: 117 MB were measured at the start of the deployed program. */
const ownBytes = 112 * bytesPerMiB;
/** Garbage of bodies that have ended, and bytes that the system has received and the process has not read, take as much again as the bodies. */
const memoryPerHeldByte = 2;
/** Room for several bodies of the default size limit, also where the memory is smaller than is supported. */
const minHeldBytes = 16 * bytesPerMiB;
/** Responses keep at most this part, so that callers who read slowly leave room for bodies. */
const responseShare = 0.5;
const maxResponseBytes = 32 * bytesPerMiB;

/** What a host may hold in memory for its callers, in bytes. */
type MemoryLimits = {
	/** Bodies of requests and what is kept of responses, together. */
	readonly heldBytes: number;
	/** What is kept of responses. */
	readonly responseBytes: number;
};

/** Derives from a machine's memory how many bytes a host may hold. Answers crowds of large bodies, each within its own limit. */
export function deriveMemoryLimits(memoryBytes: number): MemoryLimits {
	const heldBytes = Math.max(minHeldBytes, Math.floor((memoryBytes - ownBytes) / memoryPerHeldByte));
	return {heldBytes, responseBytes: Math.min(maxResponseBytes, Math.floor(heldBytes * responseShare))};
}
