import {createTimeoutSignal} from '../../src/util/create-timeout-signal.js';
import {type TestGateway} from './start-test-gateway.js';
import {waitUntil} from './wait-until.js';

type Host = Pick<TestGateway, 'readiness'>;

/** A probe without a response is repeated. */
const probeTimeoutMs = 5000;

/** Asks a host whether it is ready; returns the status of its answer, or why there is none. */
async function probe({readiness}: Host): Promise<string> {
	try {
		const {status} = await fetch(`http://${readiness}/v1/readiness`, {signal: createTimeoutSignal(probeTimeoutMs)});
		return String(status);
	} catch (error) {
		return `${String(error)}, ${String((error as Error).cause)}`;
	}
}

/** Waits until all hosts report that they are ready. */
export async function waitUntilReady(...gateways: readonly Host[]): Promise<void> {
	let answers: readonly string[] = [];
	await waitUntil('the hosts to be ready', async () => {
		answers = await Promise.all(gateways.map(async gateway => probe(gateway)));
		return answers.every(answer => answer === '200');
	}, undefined, () => gateways.map(({readiness}, index) => `${readiness}: ${answers[index]}`).join('; '));
}
