import {createTimeoutSignal} from '../../src/util/create-timeout-signal.js';
import {type TestGateway} from './start-test-gateway.js';
import {waitUntil} from './wait-until.js';

type Host = Pick<TestGateway, 'readiness'>;

/** A probe without a response is repeated. */
const probeTimeoutMs = 5000;

async function isReady({readiness}: Host): Promise<boolean> {
	const {status} = await fetch(`http://${readiness}/v1/readiness`, {signal: createTimeoutSignal(probeTimeoutMs)});
	return status === 200;
}

/** Waits until all hosts report that they are ready. */
export async function waitUntilReady(...gateways: readonly Host[]): Promise<void> {
	await waitUntil('the hosts to be ready', async () => {
		const readiness = await Promise.all(gateways.map(async gateway => isReady(gateway)));
		return readiness.every(Boolean);
	});
}
