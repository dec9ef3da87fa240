import {type KvSharing} from '../decide/kv-cache/kv-sharing.js';

/** The rules by which workspaces share KV cache, and since when they hold at this host. */
export type KvSharingState = KvSharing & {
	/** Version of the configuration that they come from; 0 before the first one. */
	readonly contentVersion: number;
	/** When this host put the first configuration in force that has this group, by the clock for waits for others. */
	readonly groupSince: number;
};
