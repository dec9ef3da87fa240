import {type HostRegistry} from './host-registry.js';
import {type HostSocket} from './host-socket.js';
import {type ReportSender} from './report-sender.js';

/** What the sender needs. */
type DirectSenderOptions = {
	readonly socket: HostSocket;
	readonly registry: HostRegistry;
	/** Time between reports, in milliseconds. */
	readonly reportMs: number;
};

/** Creates the sender that tells each other host by itself. */
export function createDirectSender({socket, registry, reportMs}: DirectSenderOptions): ReportSender {
	const addresses = (): readonly string[] => registry.all().map(host => host.reports);
	return {
		send(report) {
			socket.send({report: {...report, everyMs: reportMs}}, addresses());
		},
		tell(news) {
			socket.send({kept: [news]}, addresses());
		},
	};
}
