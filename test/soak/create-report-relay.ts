import {createSocket} from 'node:dgram';
import {parseAddress} from '../../src/http/parse-address.js';
import {type LinkFaults} from './link-faults.js';

/** Addresses that the hosts advertise to each other, by the addresses at which they listen. */
export type AdvertisedAddresses = ReadonlyMap<string, string>;

/** Relays load reports to one host and replaces the addresses in them by those of the proxies. */
type ReportRelay = {
	readonly address: string;
	readonly stop: () => void;
};

/** Starts the relay. `link` holds the faults of the host's proxy for calls, which apply to reports as well. */
export async function createReportRelay(port: number, target: string, link: LinkFaults, advertisedAddresses: AdvertisedAddresses): Promise<ReportRelay> {
	const socket = createSocket('udp4');
	const {host, port: targetPort} = parseAddress(target);
	let hasStopped = false;
	socket.on('message', bytes => {
		if (link.isInboundBlocked || link.refusesConnections) {
			return;
		}

		const text = bytes.toString().replaceAll(/127\.0\.0\.1:\d+/gv, address => advertisedAddresses.get(address) ?? address);
		setTimeout(() => {
			if (!hasStopped) {
				socket.send(text, targetPort, host, () => undefined);
			}
		}, link.delayMs);
	});
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind(port, '127.0.0.1', resolve);
	});
	// A datagram that can't be forwarded counts as lost.
	socket.on('error', () => undefined);
	return {
		address: `127.0.0.1:${port}`,
		stop() {
			hasStopped = true;
			socket.close();
		},
	};
}
