import {type HostReport} from './host-report.js';

/** A report as it is sent. */
export type WireReport = Omit<HostReport, 'loads'> & {
	/** Each load: upstream, requests in flight, tokens held, then urgency and tokens waiting in turn. */
	readonly loads: ReadonlyArray<readonly [id: string, inFlight: number, heldTokens: number, ...waitingTokens: readonly number[]]>;
};
