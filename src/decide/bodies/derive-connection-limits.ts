const bytesPerMiB = 1024 * 1024;
/** Descriptors that the platform reserves for files. */
const fileDescriptors = 200;
/** Of a small number of descriptors, this part remains for connections. */
const minConnectionShare = 0.5;
/** A connection takes some 16 KB in the process and more in the system while bytes wait there. */
const connectionsPerMiB = 16;
const callerShare = 0.5;
const hostShare = 0.125;
const statusShare = 1 / 64;
const minStatusConnections = 8;

/** How many connections each server keeps open at most. */
type ConnectionLimits = {
	readonly callers: number;
	/** Requests that other hosts hand on. */
	readonly relayed: number;
	readonly peers: number;
	/** For the readiness check and the metrics, each. */
	readonly status: number;
};

/**
Derives from a machine's descriptors and memory how many connections each server accepts. Answers crowds of connections; a quarter of the descriptors
remains for connections that the host opens itself.
*/
export function deriveConnectionLimits(descriptors: number, memoryBytes: number): ConnectionLimits {
	const usable = Math.min(Math.max(descriptors - fileDescriptors, descriptors * minConnectionShare), 2 * connectionsPerMiB * memoryBytes / bytesPerMiB);
	return {
		callers: Math.floor(usable * callerShare),
		relayed: Math.floor(usable * hostShare),
		peers: Math.floor(usable * hostShare),
		status: Math.max(minStatusConnections, Math.floor(usable * statusShare)),
	};
}
