import {type HostMessage} from './host-message.js';
import {type ReportSender} from './report-sender.js';

/** The sender that reports to one host of its failure domain, and collects the reports of the others where they choose this one. */
export type CollectingReportSender = ReportSender & {
	/** Takes what this host is to add up or to pass on. */
	readonly handleMessage: (message: HostMessage) => void;
};
