import {type DomainSum} from './domain-sum.js';
import {type HostReport} from './host-report.js';
import {type KeptNews} from './kept-news.js';

/** What hosts send each other as a datagram. */
export type HostMessage = {
	readonly report?: HostReport | undefined;
	/** Whether the receiver is to add the report to its sum, for others. */
	readonly isForSum?: boolean | undefined;
	readonly sums?: readonly DomainSum[] | undefined;
	readonly kept?: readonly KeptNews[] | undefined;
	/** Whether the receiver is to pass sums and news on to the hosts of its failure domain. */
	readonly isToPassOn?: boolean | undefined;
};
