import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {buildRawRequest} from '../support/build-raw-request.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startGatewayWithUpstreams, type GatewayWithUpstreams} from '../support/start-gateway-with-upstreams.js';

let system: GatewayWithUpstreams;
let text: string;

beforeAll(async () => {
	system = await startGatewayWithUpstreams(platformObjects.configuration(1));
	await sendRawRequest(system.gateway.callers, buildRawRequest());
	const res = await fetch(`http://${system.gateway.metrics}/metrics`);
	text = await res.text();
});

afterAll(async () => {
	await system.stop();
});

describe('the metrics of a gateway host', () => {
	test.each([
		['calls of the store by kind and operation', /^hemlockpier_platform_calls_total\{method="GET",kind="servers",operation="list"\} [1-9]/mv],
		['its own registration', /^hemlockpier_platform_calls_total\{method="POST",kind="hemlockpier-hosts",operation="create"\} 1$/mv],
		['processor time of placement', /^hemlockpier_cpu_seconds_total\{job="placement"\} \d/mv],
		['processor time of the process', /^hemlockpier_cpu_seconds_total\{job="all"\} \d/mv],
		['requests by result', /^hemlockpier_requests_total\{kind="idempotent",result="answered"\} 1$/mv],
	])('hold %s', (_, pattern) => {
		expect(text).toMatch(pattern);
	});
});
