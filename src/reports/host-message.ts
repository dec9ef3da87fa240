import {type ClaimMessage} from '../claims/claim-message.js';
import {type StreamGroup} from '../streams/stream-group.js';
import {type KvStoreUpdate} from '../forwarding/kv-store-update.js';
import {type DomainReport} from './domain-report.js';
import {type HostReport} from './host-report.js';

/** A datagram between hosts. */
export type HostMessage = ClaimMessage & {
	/** The sender's own report. */
	readonly report?: HostReport | undefined;
	/** Whether the receiver is to include the report in its domain report to other hosts. */
	readonly isForSum?: boolean | undefined;
	/** Reports of collectors on the hosts of their failure domains. */
	readonly sums?: readonly DomainReport[] | undefined;
	/** Streams that the sender has begun, with the software version of each. */
	readonly streams?: readonly StreamGroup[] | undefined;
	/** Updates of KV cache stores. */
	readonly kept?: readonly KvStoreUpdate[] | undefined;
	/** Whether the receiver is to forward `sums` and `kept` to the hosts of its failure domain. */
	readonly isToPassOn?: boolean | undefined;
};
