import {type HostRegistry} from './host-registry.js';
import {type HostSocket} from './host-socket.js';
import {type ReportSender} from './report-sender.js';

/** Options of `createDirectReportSender`. */
type DirectReportSenderOptions = {
	readonly socket: HostSocket;
	readonly registry: HostRegistry;
	/** Time between reports, in milliseconds. */
	readonly reportMs: number;
};

/** Creates the sender that sends each report directly to every other host. */
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
