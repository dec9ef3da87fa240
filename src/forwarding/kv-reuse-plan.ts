import {type KvTransferPlan} from '../decide/kv-cache/kv-transfer-plan.js';

/** Plan for the KV cache of a prompt at one engine: its scope, and where its parts are fetched from and saved to. */
export type KvReusePlan = KvTransferPlan & {
	readonly scope: string;
	/** Records that the request is sent as planned. */
	readonly recordSent: () => void;
};
