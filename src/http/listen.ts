import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Address} from './address.js';

/**
Starts `server` on `address`.

@returns The port in use, which differs from `address.port` when that is 0.
*/
export async function listen(server: Server, address: Address): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			server.off('error', reject);
			resolve((server.address() as AddressInfo).port);
		});
	});
}
