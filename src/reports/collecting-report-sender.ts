import {type HostMessage} from './host-message.js';
import {type ReportSender} from './report-sender.js';

/**
Sends this host's reports to the collector of its failure domain, the host that adds up and distributes the reports of all. A host
that others choose as the collector does this for them.
*/
export type CollectingReportSender = ReportSender & {
	/** Adds up the report in a message, and stores for forwarding what the message asks to forward. */
	readonly handleMessage: (message: HostMessage) => void;
};
