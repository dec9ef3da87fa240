import {type HostRegistry} from './host-registry.js';
import {type HostSocket} from './host-socket.js';
import {type ReportSender} from './report-sender.js';

/** What the sender needs. */
type DirectReportSenderOptions = {
	readonly socket: HostSocket;
	readonly registry: HostRegistry;
	/** Time between reports, in milliseconds. */
	readonly reportMs: number;
};

/** Creates the sender that tells each other host by itself. */
export function createDirectReportSender({socket, registry, reportMs}: DirectReportSenderOptions): ReportSender {
	const addresses = (): readonly string[] => registry.listKnown().map(host => host.reports);
	return {
		send(report) {
			socket.send({report: {...report, everyMs: reportMs}}, addresses());
		},
		sendKvUpdate(update) {
			socket.send({kept: [update]}, addresses());
		},
	};
}
