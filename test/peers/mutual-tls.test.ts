import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {request} from 'undici';
import {createPeerClient} from '../../src/peers/create-peer-client.js';
import {createPeerServer} from '../../src/peers/create-peer-server.js';
import {type PeerHandlers} from '../../src/peers/peer-handlers.js';
import {readTlsCredentials} from '../../src/settings/read-tls-credentials.js';
import {type TlsCredentials} from '../../src/settings/tls-credentials.js';
import {createCertificateAuthority, type CertificateAuthority} from '../support/create-certificate-authority.js';

const handlers = {
	'config.head': async () => ({revision: 7, services: {}}),
} as unknown as PeerHandlers;

const folder = mkdtempSync(path.join(tmpdir(), 'hemlockpier-tls-'));
const createCredentials = (authority: CertificateAuthority, name: string): TlsCredentials => readTlsCredentials(authority.write(folder, name))!;

async function callWith(credentials: TlsCredentials | undefined, port: number): Promise<number | string> {
	const client = createPeerClient(credentials, () => false, () => undefined);
	try {
		const {revision} = await client.call(`127.0.0.1:${port}`, 'config.head', {});
		return revision;
	} catch (error) {
		return (error as Error).name;
	} finally {
		await client.stop();
	}
}

describe('mutual TLS between hosts', () => {
	const authority = createCertificateAuthority('one');
	const other = createCertificateAuthority('other');

	it('rejects a peer without a valid certificate', async () => {
		const server = await createPeerServer('127.0.0.1:0', createCredentials(authority, 'a'), handlers, () => false);
		expect(await callWith(createCredentials(authority, 'b'), server.port)).toBe(7);
		expect(await callWith(createCredentials(other, 'c'), server.port)).toBe('PeerUnreachableError');
		expect(await callWith(undefined, server.port)).toBe('PeerUnreachableError');
		await expect(request(`http://127.0.0.1:${server.port}/rpc`, {method: 'POST', body: '{}'})).rejects.toThrow();
		await server.stop();
	});

	it('applies new credentials without a restart', async () => {
		const server = await createPeerServer('127.0.0.1:0', createCredentials(authority, 'd'), handlers, () => false);
		const client = createPeerClient(createCredentials(authority, 'e'), () => false, () => undefined);
		const address = `127.0.0.1:${server.port}`;
		expect(await client.call(address, 'config.head', {})).toMatchObject({revision: 7});
		server.setTlsCredentials(createCredentials(other, 'f'));
		client.setTlsCredentials(createCredentials(other, 'g'));
		expect(await client.call(address, 'config.head', {})).toMatchObject({revision: 7});
		expect(await callWith(createCredentials(authority, 'h'), server.port)).toBe('PeerUnreachableError');
		await client.stop();
		await server.stop();
	});
});
