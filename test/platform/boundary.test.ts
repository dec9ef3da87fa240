import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, test} from 'vitest';

/** Names of the platform's protocols and settings. */
const wireNames = [
	'kv-fetch',
	'kv-save',
	'kv-until',
	'kv-from',
	'kv-backup',
	'kv-events',
	'kv-list',
	'kv-free',
	'cache-salt',
	'prompt-prefix',
	'response-seal',
	'not-executed',
	'expect-instance',
	'expect-version',
	'deadline-ms',
	'x-api-key',
	'fencing_token',
	'kv_store_addr',
	'boot_epoch',
	'traffic_split',
	'allow_anonymous',
	'create_revision',
	'max_conns',
	'path_prefix',
	'as_of',
	'store-era',
	'server-leaving',
	'server-limit',
	'\'resumes\'',
	'\'evacuations\'',
	'evacuate_ms',
	'cold_remaining_ms',
	'cold_start_s',
	'cold_per_s',
	'cold-ms',
];

const files = (folder: string): readonly string[] => readdirSync(folder, {recursive: true, encoding: 'utf8'})
	.filter(file => file.endsWith('.ts'))
	.map(file => path.join(folder, file));

describe('names of the platform\'s protocols', () => {
	test.each(wireNames)('appear under platform/ only: %s', name => {
		expect(files('src').filter(file => readFileSync(file, 'utf8').toLowerCase().includes(name))).toEqual([]);
	});

	test('are used by src/ only through platform/adapter.ts, imported by the commands that run a gateway or check its configuration', () => {
		const imports = files('src').flatMap(file => [...readFileSync(file, 'utf8').matchAll(/(?:from |import\()'(?<target>\.[^']*)'/gv)]
			.map(({groups}) => ({file, target: path.join(path.dirname(file), groups!.target!)})));
		expect(imports.filter(({target}) => target.startsWith(`platform${path.sep}`))).toEqual(['check.ts', 'gateway.ts']
			.map(file => ({file: path.join('src', 'commands', file), target: path.join('platform', 'adapter.js')})));
	});
});
