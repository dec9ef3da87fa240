import {execFileSync, spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';

const hostFlags = /node (?<flags>(?:--\S+ )*)target/v.exec(readFileSync('deploy/system.toml', 'utf8'))!.groups!.flags!.trim().split(' ');
let folder: string;

beforeAll(() => {
	folder = mkdtempSync(path.join(tmpdir(), 'hemlockpier-deploy-'));
	execFileSync(process.execPath, ['scripts/bundle.js', '--deploy', folder]);
});

afterAll(() => {
	rmSync(folder, {recursive: true});
});

describe('the deployed bundle', () => {
	test('starts the program, which reports invalid settings', () => {
		const {status, stderr} = spawnSync(process.execPath, [...hostFlags, `${folder}/hemlockpier.cjs`, 'gateway', '--settings', `${folder}/missing`]);
		expect(String(stderr)).toContain('cannot be read');
		expect(status).toBe(2);
	});

	test.each([
		['is accepted with the flags of the hosts', hostFlags, 'false'],
		['is rejected with other flags', [...hostFlags, '--no-opt'], 'true'],
	])('contains a code cache that %s', (_name, flags, isRejected) => {
		const check = `
			const {readFileSync} = require('node:fs');
			const {Script} = require('node:vm');
			const source = require('node:module').wrap(readFileSync('${folder}/program.cjs', 'utf8'));
			const script = new Script(source, {filename: '${folder}/program.cjs', cachedData: readFileSync('${folder}/program.code-cache')});
			console.log(script.cachedDataRejected);`;
		expect(String(execFileSync(process.execPath, [...flags, '-e', check])).trim()).toBe(isRejected);
	});
});
