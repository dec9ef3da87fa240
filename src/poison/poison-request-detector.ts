import {type CondemnedParts} from '../decide/poison/condemned-parts.js';
import {type CondemnedRequest} from '../decide/poison/condemned-request.js';
import {type RefusalCause} from '../decide/poison/refusal-cause.js';
import {type AdmittedRequest} from '../forwarding/admitted-request.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type CrashFindings} from './crash-findings.js';

/** Detects requests, and parts of prompts, that crash the upstreams that run them. */
export type PoisonRequestDetector = {
	/** Returns why a request is refused: it has crashed two upstreams, or others with the same parts have; `undefined` when it is not. */
	readonly findCause: (admitted: AdmittedRequest) => RefusalCause | undefined;
	/**
	Checks whether an upstream crashed after it ended a request without a response, or this host gave the request up.

	@param sentAt - When the request was sent, in milliseconds of the monotonic clock.
	*/
	readonly checkForCrash: (admitted: AdmittedRequest, upstream: Upstream, sentAt: number, isGivenUp: boolean) => void;
	/** Records that a request got a response, which clears it and the parts of its prompt; a condemned one stays refused. */
	readonly recordSuccess: (admitted: AdmittedRequest) => void;
	/** Adds what another host reported. */
	readonly addFindings: (findings: CrashFindings) => void;
	/** Adds what hosts have condemned and listed in the object store; times are in Unix milliseconds. */
	readonly addCondemned: (requests: readonly CondemnedRequest[], parts: readonly CondemnedParts[]) => void;
	/** Clears parts of which the list in the object store says that a request completed with them. */
	readonly clearParts: (parts: readonly string[]) => void;
	/** Returns what to report to other hosts. */
	readonly news: () => CrashFindings;
};
