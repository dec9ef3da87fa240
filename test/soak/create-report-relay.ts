import {createSocket} from 'node:dgram';
import {parseAddress} from '../../src/http/parse-address.js';
import {type LinkFaults} from './link-faults.js';

/** Addresses as the hosts know them, by the addresses at which they really listen. */
export type AdvertisedAddresses = ReadonlyMap<string, string>;

/** Relays load reports to one host and names the addresses of proxies in them. */
type ReportRelay = {
	readonly address: string;
	readonly stop: () => void;
};

/** Starts the relay; its link is that of the host's proxy for calls. */
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
	// A datagram that can't be passed on is like one that is lost.
	socket.on('error', () => undefined);
	return {
		address: `127.0.0.1:${port}`,
		stop() {
			hasStopped = true;
			socket.close();
		},
	};
}
