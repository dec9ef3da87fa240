import {createSocket} from 'node:dgram';
import {parseAddress} from '../../src/http/parse-address.js';

/** Relays reports to one host. */
type DatagramRelay = {
	readonly address: string;
	/** Drops what comes from the given address; from all, without one. */
	readonly block: (from?: string) => void;
	readonly unblock: () => void;
	readonly stop: () => void;
};

/** Starts the relay; `toAdvertised` replaces the addresses in a report. */
export async function createDatagramRelay(port: number, target: string, toAdvertised: (text: string) => string): Promise<DatagramRelay> {
	const socket = createSocket('udp4');
	const {host, port: targetPort} = parseAddress(target);
	const blocked = new Set<string>();
	let isAllBlocked = false;
	socket.on('message', (bytes, {address, port: fromPort}) => {
		if (!isAllBlocked && !blocked.has(`${address}:${fromPort}`)) {
			socket.send(toAdvertised(bytes.toString()), targetPort, host, () => undefined);
		}
	});
	await new Promise<void>(resolve => {
		socket.bind(port, '127.0.0.1', resolve);
	});
	// A datagram that can't be forwarded counts as lost.
	socket.on('error', () => undefined);
	return {
		address: `127.0.0.1:${port}`,
		block(from) {
			if (from === undefined) {
				isAllBlocked = true;
			} else {
				blocked.add(from);
			}
		},
		unblock() {
			isAllBlocked = false;
			blocked.clear();
		},
		stop() {
			socket.close();
		},
	};
}
