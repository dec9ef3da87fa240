// Guards against deployments without evacuations that pay for them, and against a changed setting that seems to be in force.
import {describe, expect, test} from 'vitest';
import {compareGatewaySettings} from '../../src/settings/compare-gateway-settings.js';
import {gatewaySettingsSchema} from '../../src/settings/gateway-settings-schema.js';

const parse = (bounds: Readonly<Record<string, unknown>>) => gatewaySettingsSchema.parse({
	name: 'h', domain: 'd', region: 'r', callers: '127.0.0.1:1', readiness: '127.0.0.1:2', peers: '127.0.0.1:3', reports: '127.0.0.1:4', metricsPort: 0, objectStore: '127.0.0.1:5', bounds,
});

describe('the setting for evacuations', () => {
	test.each([
		['is left out', {}, undefined],
		['is null', {evacuateMs: null}, undefined],
		['is a time', {evacuateMs: 5000}, 5000],
	])('is off unless it is a time: it %s', (_name, bounds, expected) => {
		expect(parse(bounds).bounds.evacuateMs).toBe(expected);
	});

	test('takes effect at the next start', () => {
		expect(compareGatewaySettings(parse({}), parse({evacuateMs: 5000}))).toEqual({live: [], atStart: ['bounds.evacuateMs']});
	});
});
