import {type KvTransferPlan} from '../decide/kept/kv-transfer-plan.js';

/** A prompt at one engine: its scope there, and where its parts come from and go to. */
export type KvReusePlan = KvTransferPlan & {
	readonly scope: string;
	/** Notes that the request is sent as planned. */
	readonly recordSent: () => void;
};
