/** Kinds of requests that the soak's callers send. */
export type CallKind = 'read' | 'book' | 'ask' | 'extra' | 'crash' | 'part' | 'sound' | 'resume';

/** A request as its caller observed it. All times of a history are in milliseconds of the same clock. */
export type Call = {
	readonly id: string;
	readonly kind: CallKind;
	readonly target: string;
	readonly body: string;
	readonly key: string;
	readonly host: string;
	readonly sentAt: number;
	readonly endedAt: number;
	/** HTTP status, or 0 if no response started. */
	readonly status: number;
	readonly seal: string | undefined;
	readonly text: string;
	/** Whether the response is complete according to its framing. */
	readonly isWhole: boolean;
	/** The stream that the caller takes up: the call that brought its first event, and the last event that it got. */
	readonly resumed?: {readonly begunBy: string; readonly after: number} | undefined;
	/** Whether the caller disconnected before the response was complete. */
	readonly hasLeft: boolean;
};

/** A request that an upstream ran. */
export type UpstreamRun = {
	readonly id: string;
	readonly upstream: string;
	readonly target: string;
	readonly body: string;
	readonly workspace: string | undefined;
	/** Whether the caller's API key was forwarded. */
	readonly hasKey: boolean;
	readonly at: number;
	/** Id of the event after which the stream was resumed. */
	readonly resumedAfter: string | undefined;
	readonly seal: string;
	/** Software version of the upstream. */
	readonly version: string;
};

/** A limit on requests a second that an upstream stated for a time. */
export type StatedLimitInterval = {
	readonly upstream: string;
	readonly perS: number;
	readonly from: number;
	readonly until: number;
};

/** A request that an upstream turned away, asking its host for rest. */
export type AskedRest = {
	readonly upstream: string;
	/** Id of the request. */
	readonly id: string;
	readonly restS: number;
	readonly at: number;
};

/** A time in which a host was cut off from all upstreams. */
export type LinkCut = {
	readonly host: string;
	readonly from: number;
	readonly until: number;
};

/** An order that an engine received. */
export type RecordedOrder = {
	readonly upstream: string;
	readonly holder: string;
	readonly token: number;
	readonly at: number;
};

/** A period in which a fault was injected. */
export type FaultInterval = {
	/** `store`, `host NAME` or `upstream ID`. */
	readonly scope: string;
	readonly kind: string;
	readonly from: number;
	readonly until: number;
};

/** A change by the operator that the object store acknowledged. */
export type OperatorChange = {
	readonly kind: 'leaving' | 'added' | 'removed' | 'revoked';
	/** Id of the upstream, name of the route, or key. */
	readonly what: string;
	readonly at: number;
};

/** Everything that one soak observed from outside the hosts. */
export type SoakHistory = {
	readonly calls: readonly Call[];
	readonly runs: readonly UpstreamRun[];
	readonly orders: readonly RecordedOrder[];
	readonly limits: readonly StatedLimitInterval[];
	readonly rests: readonly AskedRest[];
	readonly cuts: readonly LinkCut[];
	readonly disturbances: readonly FaultInterval[];
	readonly changes: readonly OperatorChange[];
	/** Names of the hosts whose process exited unexpectedly. */
	readonly exits: readonly string[];
	/** Version of the desired weights published last, and the versions that the engines hold. */
	readonly weights: {readonly named: number; readonly held: readonly number[]};
	/** Time after which no faults were active. */
	readonly calmFrom: number;
	readonly endedAt: number;
};
