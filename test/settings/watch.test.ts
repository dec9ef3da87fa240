import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {compareGatewaySettings} from '../../src/settings/compare-gateway-settings.js';
import {createSettingsWatch} from '../../src/settings/create-settings-watch.js';
import {gatewaySettingsSchema} from '../../src/settings/gateway-settings-schema.js';
import {type GatewaySettings} from '../../src/settings/gateway-settings.js';
import {parseJsonc} from '../../src/settings/parse-jsonc.js';
import {waitUntil} from '../support/wait-until.js';

const baseSettings = {
	name: 'host-1', domain: 'domain-a', region: 'region-a', callers: '127.0.0.1:1', readiness: '127.0.0.1:2', peers: '127.0.0.1:3', reports: '127.0.0.1:4', metricsPort: 5, objectStore: '127.0.0.1:6',
};
const createSettings = (changed: Record<string, unknown>): GatewaySettings => gatewaySettingsSchema.parse({...baseSettings, ...changed});

describe('compareGatewaySettings', () => {
	const cases: ReadonlyArray<readonly [name: string, changed: Record<string, unknown>, live: readonly string[], atStart: readonly string[]]> = [
		['without changes', {}, [], []],
		['with another retry ratio and other seeds', {bounds: {retryRatio: 0.1}, seeds: ['127.0.0.1:9']}, ['seeds', 'bounds.retryRatio'], []],
		['with another address', {callers: '127.0.0.1:7'}, [], ['callers']],
		['with a pace, which all of the process rests on', {pace: {}}, [], ['pace']],
		['with claims of places, which hosts answer to each other', {placement: {claims: true}}, [], ['placement']],
		['with another lease time, on which hosts must agree', {bounds: {leaseMs: 1}}, [], ['bounds.leaseMs']],
	];
	test.each(cases)('lists the changed keys of settings %s, by whether they take effect at once', (_name, changed, live, atStart) => {
		expect(compareGatewaySettings(createSettings({}), createSettings(changed))).toEqual({live, atStart});
	});
});

describe('the pace of upstreams', () => {
	test.each([
		[undefined, undefined],
		[{}, {initialShare: 0.125, slowFactor: 2, quietMs: 2000}],
		[{initialShare: 0.5, slowFactor: null}, {initialShare: 0.5, slowFactor: 2, quietMs: 2000}],
	])('is off unless it is set: %j', (pace, expected) => {
		expect(createSettings({pace}).pace).toEqual(expected);
	});

	test.each([{initialShare: 0}, {initialShare: 1.1}, {slowFactor: 1}, {quietMs: 0}, {unknown: 1}])('is refused with %j', pace => {
		expect(() => createSettings({pace})).toThrow();
	});
});

/** Guards against claims in deployments whose settings say nothing of them. */
describe('settings of claims', () => {
	test.each([
		[{}, false],
		[{placement: {}}, false],
		[{placement: {claims: null}}, false],
		[{placement: {claims: false}}, false],
		[{placement: {claims: true}}, true],
	])('%j', (changed, expected) => {
		expect(createSettings(changed).placement.claims).toBe(expected);
	});
});

describe('a settings file', () => {
	let directory: string;
	let file: string;

	beforeEach(() => {
		directory = mkdtempSync(join(tmpdir(), 'settings-'));
		file = join(directory, 'host.jsonc');
	});

	afterEach(() => {
		rmSync(directory, {recursive: true});
	});

	test('is reloaded when it changes without a signal; an invalid one changes nothing', async () => {
		const appliedSeeds: string[] = [];
		const write = (changed: Record<string, unknown>): void => {
			writeFileSync(file, JSON.stringify({...baseSettings, ...changed}));
		};

		write({});
		const watch = createSettingsWatch({
			file,
			parse: text => parseJsonc<GatewaySettings>(file, text, gatewaySettingsSchema),
			onChange({seeds}) {
				appliedSeeds.push(...seeds);
			},
		});
		await watch.check();
		write({seeds: ['nowhere']});
		await watch.check();
		expect(appliedSeeds).toEqual([]);
		write({seeds: ['127.0.0.1:9']});
		await waitUntil('the file to be read', () => appliedSeeds.length > 0);
		watch.stop();
		expect(appliedSeeds).toEqual(['127.0.0.1:9']);
	});
});
