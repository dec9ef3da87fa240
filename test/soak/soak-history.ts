/** Kinds of requests that the soak's callers send. */
export type CallKind = 'read' | 'book' | 'ask' | 'extra';

/** A request as its caller saw it. Times are in milliseconds of one clock. */
export type Call = {
	readonly id: string;
	readonly kind: CallKind;
	readonly target: string;
	readonly body: string;
	readonly key: string;
	readonly host: string;
	readonly sentAt: number;
	readonly endedAt: number;
	/** 0 where no answer began. */
	readonly status: number;
	readonly seal: string | undefined;
	readonly text: string;
	/** Whether the answer ended as its framing says. */
	readonly isWhole: boolean;
	/** Whether the caller left by itself. */
	readonly hasLeft: boolean;
};

/** A request that an upstream worked on. */
export type UpstreamRun = {
	readonly id: string;
	readonly upstream: string;
	readonly target: string;
	readonly body: string;
	readonly workspace: string | undefined;
	/** Whether the caller's key was passed on. */
	readonly hasKey: boolean;
	readonly at: number;
	/** Event after which a stream went on. */
	readonly resumedAfter: string | undefined;
	readonly seal: string;
};

/** An order to an engine. */
export type RecordedOrder = {
	readonly upstream: string;
	readonly holder: string;
	readonly token: number;
	readonly at: number;
};

/** A time in which something was disturbed on purpose. */
export type FaultInterval = {
	/** `store`, `host NAME` or `upstream ID`. */
	readonly scope: string;
	readonly kind: string;
	readonly from: number;
	readonly until: number;
};

/** What the operator changed and the store acknowledged. */
export type OperatorChange = {
	readonly kind: 'leaving' | 'added' | 'removed' | 'revoked';
	/** Upstream, route or key. */
	readonly what: string;
	readonly at: number;
};

/** All that one soak saw from outside. */
export type SoakHistory = {
	readonly calls: readonly Call[];
	readonly runs: readonly UpstreamRun[];
	readonly orders: readonly RecordedOrder[];
	readonly disturbances: readonly FaultInterval[];
	readonly changes: readonly OperatorChange[];
	/** Hosts whose process ended by itself. */
	readonly exits: readonly string[];
	/** Versions of weights at the engines, and the one named last. */
	readonly weights: {readonly named: number; readonly held: readonly number[]};
	/** From when on nothing was disturbed. */
	readonly calmFrom: number;
	readonly endedAt: number;
};
