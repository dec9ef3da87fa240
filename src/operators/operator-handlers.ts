import {type Decision} from '../observe/decision.js';

/** Queries and actions that a host offers to operators. */
export type OperatorHandlers = {
	/** Returns whether the host accepts requests. */
	readonly isReady: () => boolean;
	/** Returns the host's metrics in Prometheus text format. */
	readonly metrics: () => Promise<string>;
	/** Returns the host's state as a JSON value. */
	readonly status: () => unknown;
	/** Returns the decisions of all hosts about a request. */
	readonly explain: (requestId: string) => Promise<readonly Decision[]>;
	/** Marks an upstream as leaving, or as available again. */
	readonly mark: (upstream: string, leaving: boolean) => void;
	/** Starts the host's graceful shutdown. */
	readonly drain: () => void;
	/** Sets fault switches, which simulate failures in tests. */
	readonly setFaults: (faults: {readonly cutPeers?: readonly string[] | 'all'; readonly cutPlatform?: boolean; readonly sendPauseMs?: number}) => void;
};
