import {writeFileSync} from 'node:fs';
import path from 'node:path';
import forge from 'node-forge';

const hostKeyBits = 1024;
const dayMs = 86_400_000;

/** A certificate authority that issues certificates to hosts under test. */
export type CertificateAuthority = {
	/** Issues a certificate to the host `name`, writes key, certificate and authority certificate to `folder` and returns their paths. */
	readonly write: (folder: string, name: string) => {readonly key: string; readonly certificate: string; readonly authority: string};
};

function createCertificate(subject: string, keys: forge.pki.rsa.KeyPair, issuer: string, issuerKey: forge.pki.rsa.PrivateKey, isAuthority: boolean): forge.pki.Certificate {
	const certificate = forge.pki.createCertificate();
	certificate.publicKey = keys.publicKey;
	certificate.serialNumber = String(Date.now());
	certificate.validity.notBefore = new Date(Date.now() - dayMs);
	certificate.validity.notAfter = new Date(Date.now() + dayMs);
	certificate.setSubject([{name: 'commonName', value: subject}]);
	certificate.setIssuer([{name: 'commonName', value: issuer}]);
	certificate.setExtensions([{name: 'basicConstraints', cA: isAuthority}]);
	certificate.sign(issuerKey, forge.md.sha256.create());
	return certificate;
}

/** Creates a self-signed certificate authority. */
export function createCertificateAuthority(name: string): CertificateAuthority {
	const keys = forge.pki.rsa.generateKeyPair(hostKeyBits * 2);
	const authorityCertificate = createCertificate(name, keys, name, keys.privateKey, true);
	return {
		write(folder, host) {
			const hostKeys = forge.pki.rsa.generateKeyPair(hostKeyBits * 2);
			const certificate = createCertificate(host, hostKeys, name, keys.privateKey, false);
			const pathOf = (kind: string): string => path.join(folder, `${host}-${kind}.pem`);
			writeFileSync(pathOf('key'), forge.pki.privateKeyToPem(hostKeys.privateKey));
			writeFileSync(pathOf('certificate'), forge.pki.certificateToPem(certificate));
			writeFileSync(pathOf('authority'), forge.pki.certificateToPem(authorityCertificate));
			return {key: pathOf('key'), certificate: pathOf('certificate'), authority: pathOf('authority')};
		},
	};
}
