import {type Decision} from '../observe/decision.js';

/** What operators can ask of a host and have it do. */
export type OperatorHandlers = {
	readonly isReady: () => boolean;
	readonly metrics: () => Promise<string>;
	readonly status: () => unknown;
	readonly explain: (requestId: string) => Promise<readonly Decision[]>;
	/** Marks an upstream as leaving or as back. */
	readonly mark: (upstream: string, leaving: boolean) => void;
	/** Begins the host's planned stop. */
	readonly drain: () => void;
	/** Sets fault switches, for tests of failures. */
	readonly setFaults: (faults: {readonly cutPeers?: readonly string[] | 'all'; readonly cutPlatform?: boolean; readonly sendPauseMs?: number}) => void;
};
