import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {adapter} from '../../platform/adapter.js';
import {checkConfigurationFile} from '../../src/settings/configuration-check/check-configuration-file.js';
import {platformObjects} from '../support/platform-objects.js';
import {startProcess} from '../support/start-process.js';

type Changes = Record<string, unknown>;
type Expected = ReadonlyArray<readonly [category: string, path: string, message: string]>;

const {route} = platformObjects;
const service = (changed: Changes) => ({name: 'app', ...changed});

/** A configuration without findings: one route to one service, one workspace. */
const configuration = (changed: Changes = {}) => platformObjects.configuration(5, {
	routes: [route()], services: [service({})], tenants: [{name: 'acme', api_keys: ['key-1']}], ...changed,
});

function writeFile(value: unknown, name = 'main.json'): string {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'hemlockpier-check-')), name);
	writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value, undefined, '\t'));
	return file;
}

const check = (file: string, options: Partial<Parameters<typeof checkConfigurationFile>[1]> = {}) =>
	checkConfigurationFile(file, {adapter, upstreamCounts: new Map(), ...options});

function expectFindings(findings: ReturnType<typeof check>, expected: Expected): void {
	expect(findings.map(finding => [finding.category, finding.path])).toEqual(expected.map(([category, field]) => [category, field]));
	for (const [index, finding] of findings.entries()) {
		expect(finding.message).toContain(expected[index]![2]);
	}
}

const single: ReadonlyArray<readonly [name: string, changed: Changes, expected: Expected, options?: Parameters<typeof check>[1]]> = [
	['nothing at fault', {}, []],
	['a field of a wrong type', {routes: [route({timeout_ms: '5'})]}, [['error', 'routes[0].timeout_ms', 'expected number']]],
	['a missing list', {services: undefined}, [['error', 'services', 'expected array']]],
	['an unknown kind', {routes: [route({kind: 'twice'})]}, [['error', 'routes[0].kind', 'expected one of']]],
	['a route without a service', {routes: [route(), route({name: 'r-2', path_prefix: '/x/', service: undefined})]}, [['error', 'routes[1].service', 'names no service']]],
	['a store without a port', {services: [service({}), service({name: 'kv', kv_store_addr: '127.0.0.1'})]}, [
		['error', 'services[1].kv_store_addr', 'IP:PORT'],
		['never-matches', 'services[1].name', 'no route names service kv'],
	]],
	['a negative time of coldness', {services: [service({cold_start_s: -1, cold_per_s: 0})]}, [['error', 'services[0].cold_start_s', '>=0']]],
	['a repeated name', {services: [service({}), service({})]}, [['error', 'services[1].name', 'already in use']]],
	['a route behind one of the same host and prefix', {routes: [route(), route({name: 'r-2', host: 'APP.example:80'})]}, [['never-matches', 'routes[1].path_prefix', 'route r-read']]],
	['a longer prefix behind a shorter one', {routes: [route(), route({name: 'r-2', path_prefix: '/read/long/'})]}, []],
	['a share of zero', {routes: [route({traffic_split: [{service: 'app', weight: 1}, {service: 'app', weight: 0}]})]}, [['never-matches', 'routes[0].traffic_split[1].weight', 'a share of zero']]],
	['a route to an unknown service', {routes: [route(), route({name: 'r-2', path_prefix: '/x/', service: 'gone'})]}, [['never-matches', 'routes[1].service', 'there is no service gone']]],
	['a service that no route names', {services: [service({}), service({name: 'idle'})]}, [['never-matches', 'services[1].name', 'no route names service idle']]],
	['a store of KV cache, which no route needs to name', {services: [service({}), service({name: 'kv', kv_store_addr: '127.0.0.1:1'})]}, []],
	['a key of two workspaces', {tenants: [{name: 'a', api_keys: ['k', 'own']}, {name: 'b', api_keys: ['k']}]}, [['never-matches', 'tenants[0].api_keys[0]', 'workspace b holds this key too']]],
	['a key that no header can carry', {tenants: [{name: 'a', api_keys: ['good', ' spaced']}]}, [['never-matches', 'tenants[0].api_keys[1]', 'in a header']]],
	['a workspace without keys', {tenants: [{name: 'a'}]}, [['never-matches', 'tenants[0].api_keys', 'no key of its own']]],
	['a workspace without routes', {routes: [], services: []}, [['never-matches', 'tenants[0]', 'no route can use workspace acme']]],
	['no workspaces, so that no key is needed', {tenants: undefined}, []],
	['a time-out below the objective', {routes: [route({timeout_ms: 100, goal_ms: 200})]}, [['contradiction', 'routes[0].timeout_ms', 'below the objective of 200 ms']]],
	['a time-out equal to the objective', {routes: [route({timeout_ms: 200, goal_ms: 200})]}, []],
	['bodies above the memory', {}, [['contradiction', 'limits.max_body_bytes', 'does not fit']], {memoryMb: 0.099}],
	['bodies that just fit', {}, [], {memoryMb: 0.1}],
	['more attempts than upstreams', {}, [['contradiction', 'routes[0].max_attempts', 'has 1 upstreams']], {upstreamCounts: new Map([['app', 1]])}],
	['as many attempts as upstreams', {}, [], {upstreamCounts: new Map([['app', 2]])}],
	['a cold rate without a time', {services: [service({cold_per_s: 11})]}, [['contradiction', 'services[0].cold_per_s', 'no time']]],
	['a cold time without a rate', {services: [service({cold_start_s: 8})]}, [['contradiction', 'services[0].cold_start_s', 'no rate']]],
	['a cold time with the statement that there is no limit', {services: [service({cold_start_s: 8, cold_per_s: 0})]}, []],
	['a cold time and rate', {services: [service({cold_start_s: 8, cold_per_s: 11})]}, []],
	['a prefix without slashes', {routes: [route({path_prefix: 'read'}), route({name: 'r-2', path_prefix: '/'})]}, [
		['contradiction', 'routes[0].path_prefix', 'must begin with a slash'],
		['contradiction', 'routes[0].path_prefix', 'must end with a slash'],
	]],
];

const acme = {name: 'acme', api_keys: ['key-1']};
const compared: ReadonlyArray<readonly [name: string, before: Changes, after: Changes, expected: Expected]> = [
	['nothing but the version', {}, {}, []],
	['an equal version', {version: 6}, {}, [['change', 'version', 'is ignored']]],
	['a route that is gone', {routes: [route(), route({name: 'r-2', path_prefix: '/x/'})]}, {}, [['change', 'routes[1]', 'get 404']]],
	['a route that is gone, with a broader one left', {routes: [route(), route({name: 'r-2', path_prefix: '/read/x/'})]}, {}, [['change', 'routes[1]', 'are taken by route r-read']]],
	['a new route', {}, {routes: [route(), route({name: 'r-2', path_prefix: '/x/'})]}, [['change', 'routes[1]', 'got 404']]],
	['another order of routes', {routes: [route(), route({name: 'r-2', path_prefix: '/x/'})]}, {routes: [route({name: 'r-2', path_prefix: '/x/'}), route()]}, []],
	['a shorter time-out', {}, {routes: [route({timeout_ms: 1000})]}, [['change', 'routes[0].timeout_ms', '1500 -> 1000: shorter time-out']]],
	['a longer time-out', {}, {routes: [route({timeout_ms: 2000})]}, [['change', 'routes[0].timeout_ms', 'longer time-out']]],
	['another service', {}, {routes: [route({service: 'new'})], services: [service({name: 'new'})]}, [
		['change', 'routes[0].service', 'moved to another service: requests go to new instead of app'],
		['change', 'services[0]', 'service app is gone'],
		['change', 'services[0]', 'new service new'],
	]],
	['a key that is needed now', {routes: [route({allow_anonymous: true})]}, {}, [['change', 'routes[0].allow_anonymous', 'get 401']]],
	['a key that is gone', {tenants: [{name: 'acme', api_keys: ['key-1', 'key-2']}]}, {}, [['change', 'tenants[0].api_keys[1]', 'get 401']]],
	['a new key', {}, {tenants: [{name: 'acme', api_keys: ['key-0', 'key-1']}]}, [['change', 'tenants[0].api_keys[0]', 'got 401']]],
	['a key that moved', {tenants: [acme, {name: 'b', api_keys: ['b']}]}, {tenants: [{name: 'acme', api_keys: ['a']}, {name: 'b', api_keys: ['b', 'key-1']}]}, [
		['change', 'tenants[0].api_keys[0]', 'got 401'],
		['change', 'tenants[1].api_keys[1]', 'moved from workspace acme to b'],
	]],
	['a workspace that is gone', {tenants: [acme, {name: 'b', api_keys: ['b'], isolated: true}]}, {}, [
		['change', 'tenants[1]', 'read once more'],
		['change', 'tenants[1].api_keys[0]', 'get 401'],
	]],
	['a workspace that becomes isolated', {}, {tenants: [{...acme, isolated: true}]}, [['change', 'tenants[0].isolated', 'read once more']]],
	['workspaces where there were none', {tenants: undefined}, {}, [['change', 'tenants', 'get 401']]],
	['smaller bodies', {limits: {max_body_bytes: 200_000}}, {limits: {max_body_bytes: 100_000}}, [['change', 'limits.max_body_bytes', 'get 413']]],
	['a default that is written out', {limits: undefined}, {limits: {max_body_bytes: 4_194_304}}, []],
	['fewer connections and another cold rate', {services: [service({cold_start_s: 8, cold_per_s: 11})]}, {services: [service({max_conns: 10, cold_start_s: 8, cold_per_s: 12})]}, [
		['change', 'services[0].max_conns', '64 -> 10'],
		['change', 'services[0].cold_per_s', '11 -> 12'],
	]],
];

describe('a check of a configuration', () => {
	it.each(single.map(([name, changed, expected, options]) => ({
		name, changed, expected, options,
	})))('finds what an operator would miss: $name', ({changed, expected, options}) => {
		expectFindings(check(writeFile(configuration(changed)), options), expected);
	});

	it.each(compared)('tells what callers notice of a change: %s', (_name, before, after, expected) => {
		const against = writeFile(configuration(before));
		expectFindings(check(writeFile(configuration({version: 6, ...after})), {against}), expected);
	});

	it('names the line in the checked file, and of what is gone in the file in force', () => {
		const against = writeFile(configuration({routes: [route(), route({name: 'r-2', path_prefix: '/x/'})]}));
		const file = writeFile(configuration({version: 6, routes: [route({timeout_ms: 100})]}));
		expect(check(file, {against}).map(finding => [finding.file, finding.line, finding.path])).toEqual([
			[file, 9, 'routes[0].timeout_ms'],
			[against, 18, 'routes[1]'],
			[file, 9, 'routes[0].timeout_ms'],
		]);
	});

	it('shows no API key, since its output is kept in logs', () => {
		const tenants = [{name: 'a', api_keys: ['secret-1', 'secret-2', ' secret-3']}, {name: 'b', api_keys: ['secret-1']}];
		const findings = check(writeFile(configuration({tenants})), {against: writeFile(configuration({tenants: [{name: 'a', api_keys: ['secret-4', 'secret-1']}]}))});
		expect(findings.length).toBeGreaterThan(5);
		expect(JSON.stringify(findings)).not.toContain('secret');
	});
});

const good = writeFile(configuration());
const plainService = `{
	"service": "booking", "kind": "plain", "workspaces": [{"name": "w", "keys": ["${'a'.repeat(64)}"]}],
	"upstreams": [{"name": "b-1", "domain": "d", "url": "http://127.0.0.1:1"}], "routes": [{"path": "/x", "method": "GET", "repeatable": true}]
}`;

describe('the command line of the check', () => {
	it.each([
		['a good configuration', [good], 0],
		['a good configuration of known surroundings', [good, '--memory-mb', '160', '--upstreams', 'app=3'], 0],
		['findings', [good, '--upstreams', 'app=1'], 1],
		['a difference', [good, '--against', good], 1],
		['a field of a wrong type', [writeFile(configuration({routes: 5}))], 1],
		['a missing file', ['/nonexistent'], 2],
		['a missing file in force', [good, '--against', '/nonexistent'], 2],
		['malformed JSON', [writeFile(`${JSON.stringify(configuration())}]`)], 2],
		['a comment, which the store does not accept', [writeFile(`// x\n${JSON.stringify(configuration())}`)], 2],
		['an empty file', [writeFile('')], 2],
		['an empty file in force', [good, '--against', writeFile('')], 2],
		['a file in force that can not be decoded', [good, '--against', writeFile(configuration({routes: 5}))], 2],
		['a folder beside a configuration in force', [tmpdir(), '--against', good], 2],
		['a file that is no configuration beside one in force', [writeFile('null'), '--against', good], 2],
		['an unknown service', [good, '--upstreams', 'gone=3'], 2],
		['a number of upstreams without a service', [good, '--upstreams', '3'], 2],
		['a memory that is no number', [good, '--memory-mb', 'much'], 2],
		['two configurations', [good, good], 2],
		['a service file of any name', [writeFile(plainService, 'booking.json')], 0],
		['a service file of the usual name', [writeFile(plainService, 'booking.hemlockpier.jsonc')], 0],
	])('exits with the expected code for %s', async (_name, args, code) => {
		expect(await startProcess(['check', ...args]).waitForExit()).toBe(code);
	});

	it('prints findings for machines', async () => {
		const checking = startProcess(['check', good, '--upstreams', 'app=1', '--json']);
		const line = await checking.waitForLine(text => text.startsWith('{'));
		expect(JSON.parse(line)).toEqual({
			findings: [{
				file: good, line: 13, path: 'routes[0].max_attempts', category: 'contradiction', message: '2 attempts, but service app has 1 upstreams',
			}],
		});
	});
});
