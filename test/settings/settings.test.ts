import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {readServiceFiles} from '../../src/settings/read-service-files.js';
import {readHostSettings} from '../../src/settings/read-host-settings.js';
import {startProcess} from '../support/start-process.js';

const key = 'a'.repeat(64);
const createPlainText = (extra = '', name = 'booking', url = 'http://127.0.0.1:1') => `{
	// A plain service.
	"service": "${name}", "kind": "plain",
	"workspaces": [{"name": "w", "keys": ["${key}"]}],
	"upstreams": [{"name": "${name}-1", "domain": "d", "url": "${url}"}],
	"routes": [{"path": "/x", "method": "GET", "repeatable": true}],
	${extra}
}`;
const createModelText = (name: string, pool: string, modelName: string, port: number) => `{
	"service": "${name}", "kind": "model", "pool": "${pool}",
	"models": [{"name": "${modelName}", "version": "v1"}],
	"workspaces": [{"name": "w", "keys": ["${key}"]}],
	"upstreams": [{"name": "${name}-1", "domain": "d", "url": "http://127.0.0.1:${port}"}]
}`;

function writeFiles(files: Readonly<Record<string, string>>): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'hemlockpier-settings-'));
	for (const [name, text] of Object.entries(files)) {
		writeFileSync(path.join(folder, `${name}.hemlockpier.jsonc`), text);
	}

	return folder;
}

const invalidFiles = [
	['an unknown key', {a: createPlainText('"colour": 1')}, 'a', 7, 'colour', 'unknown key'],
	['a wrong type', {a: createPlainText('"weight": "heavy"')}, 'a', 7, 'weight', 'number'],
	['a weight outside its range', {a: createPlainText('"weight": 5000')}, 'a', 7, 'weight', 'between 0.01 and 1000'],
	['a nested unknown key', {a: createPlainText('"limits": {"deadline": 1}')}, 'a', 7, 'limits.deadline', 'unknown key'],
	['malformed JSON', {a: '{"service": \n]'}, 'a', 2, 'service', 'Expected'],
	['a duplicate service', {a: createPlainText(), b: createPlainText('', 'booking', 'http://127.0.0.1:2')}, 'b', 3, 'service', 'already claimed by'],
	['two services on one engine pool', {a: createModelText('one', 'p', 'm', 1), b: createModelText('two', 'p', 'n', 2)}, 'b', 2, 'pool', 'already claimed by'],
	['two services on one engine', {a: createModelText('one', 'p', 'm', 1), b: createModelText('two', 'q', 'n', 1)}, 'b', 5, 'upstreams[0].url', 'already claimed by'],
	['two services with one model', {a: createModelText('one', 'p', 'm', 1), b: createModelText('two', 'q', 'm', 2)}, 'b', 3, 'models[0].name', 'already claimed by'],
] as const;

describe('service files', () => {
	it.each(invalidFiles)('are rejected for %s, with file, line and path', (_name, files, file, line, issuePath, message) => {
		const folder = writeFiles(files);
		let issues: readonly any[] = [];
		try {
			readServiceFiles([folder]);
		} catch (error) {
			issues = (error as {readonly issues: readonly any[]}).issues;
		}

		expect(issues[0]).toMatchObject({file: path.join(folder, `${file}.hemlockpier.jsonc`), line, path: issuePath});
		expect(issues[0].message).toContain(message);
	});

	it('may contain comments', () => {
		expect(readServiceFiles([writeFiles({a: createPlainText()})])[0]!.service.service).toBe('booking');
	});

	it.each([['examples/cascade'], ['examples/vaerkstedsnettet']])('in %s are valid', folder => {
		expect(readServiceFiles([folder])).toHaveLength(2);
	});
});

describe('host settings', () => {
	it.each([
		['an address without port', '"127.0.0.1"', 'callers', 'IP:PORT'],
		['a wrong type', '5', 'callers', 'string'],
	])('are rejected for %s', (_name, callers, issuePath, message) => {
		const file = path.join(mkdtempSync(path.join(tmpdir(), 'hemlockpier-host-')), 'host.jsonc');
		writeFileSync(file, `{\n"name": "h", "region": "r", "domain": "d",\n"callers": ${callers},\n"peers": "127.0.0.1:1", "operators": "127.0.0.1:2", "platform": "http://127.0.0.1:3"}`);
		expect(() => readHostSettings(file)).toThrow(new RegExp(`host.jsonc:3: ${issuePath}: .*${message}`, 'v'));
	});

	it.each(['examples/cascade/host.jsonc', 'examples/vaerkstedsnettet/host.jsonc'])('in %s are valid', file => {
		expect(readHostSettings(file).name).toBeTruthy();
	});
});

describe('the command line', () => {
	it.each([
		['check of good files', ['check', 'examples/cascade'], 0],
		['check of bad files', ['check', writeFiles({a: createPlainText('"colour": 1')})], 2],
		['publish of bad files, with nothing published', ['publish', writeFiles({a: createPlainText('"colour": 1')}), '--platform', 'http://127.0.0.1:1'], 2],
		['publish to an unreachable platform', ['publish', 'examples/cascade', '--platform', 'http://127.0.0.1:1'], 1],
		['serve with a missing file', ['serve', '--settings', '/nonexistent'], 2],
		['an unknown command', ['fly'], 2],
		['an unknown option', ['check', 'examples/cascade', '--fast'], 2],
		['help', ['--help'], 0],
		['status of an unreachable host', ['status', '--operators', '127.0.0.1:1'], 1],
	])('exits with the expected code for %s', async (_name, args, code) => {
		expect(await startProcess(args).waitForExit()).toBe(code);
	});
});
