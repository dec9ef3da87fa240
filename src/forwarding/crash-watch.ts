import {type CallerCall} from './caller-call.js';
import {type Upstream} from './upstream.js';
import {type Crash} from './crash.js';

/** Finds requests that crash the upstreams that run them. */
export type CrashWatch = {
	/** Whether a request has crashed two upstreams and is to be refused. */
	readonly isCondemned: (call: CallerCall) => boolean;
	/** Looks into a break without an answer. */
	readonly noteBreak: (call: CallerCall, upstream: Upstream) => void;
	/** Notes that a request was answered, which clears it. */
	readonly noteAnswer: (call: CallerCall) => void;
	/** Takes crashes that another host tells of. */
	readonly take: (crashes: readonly Crash[]) => void;
	/** Crashes to tell other hosts of. */
	readonly news: () => readonly Crash[];
};
