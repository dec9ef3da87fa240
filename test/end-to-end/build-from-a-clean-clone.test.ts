import {execFileSync, spawnSync} from 'node:child_process';
import {
	cpSync, mkdtempSync, rmSync, symlinkSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';

/** What a build reads of a clone; installed packages are linked. */
const sources = ['package.json', 'tsconfig.json', 'src', 'platform', 'scripts', 'bench', 'test', 'deploy'];
let clone: string;

beforeEach(() => {
	clone = mkdtempSync(path.join(tmpdir(), 'hemlockpier-clone-'));
	for (const source of sources) {
		cpSync(source, path.join(clone, source), {recursive: true});
	}

	symlinkSync(path.resolve('node_modules'), path.join(clone, 'node_modules'));
});

afterEach(() => {
	rmSync(clone, {recursive: true});
});

// Guards against a clone that was installed or built as the README says and lacks the program that the deploy file runs.
test.each([
	['after packages are installed', 'prepare'],
	['after a build', 'build'],
])('the program of the deploy file is there %s', (_name, script) => {
	execFileSync('npm', ['run', '--silent', script], {cwd: clone});
	const {status, stderr} = spawnSync(process.execPath, ['target/hemlockpier.cjs', 'gateway', '--settings', 'missing'], {cwd: clone});
	expect(String(stderr)).toContain('cannot be read');
	expect(status).toBe(2);
});
