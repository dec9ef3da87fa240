/** Bundles the program to CommonJS; with `--binary` also writes dist/hemlockpier, a Node single executable. */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, existsSync, mkdirSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

mkdirSync('dist', {recursive: true});

const entries = [['src/main.ts', 'dist/hemlockpier.cjs'], ['bench/main.ts', 'dist/hemlockpier-bench.cjs']];

for (const [entry, outfile] of entries) {
	if (!existsSync(entry)) {
		continue;
	}

	await build({
		entryPoints: [entry],
		outfile,
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		mainFields: ['module', 'main'],
		logLevel: 'error',
		// Plots are drawn as SVG; the canvas build would need a native module.
		alias: {'vega-canvas': './node_modules/vega-canvas/build/vega-canvas.browser.js'},
		// Roarr makes silent loggers unless this variable is set when it is first loaded.
		banner: {js: 'process.env.ROARR_LOG ??= "true"; const importMetaUrl = require("node:url").pathToFileURL(__filename).href;'},
		define: {'import.meta.url': 'importMetaUrl'},
	});
}

if (process.argv.includes('--binary')) {
	writeFileSync('dist/sea.json', JSON.stringify({
		main: 'dist/hemlockpier.cjs',
		output: 'dist/hemlockpier.blob',
		disableExperimentalSEAWarning: true,
	}));
	execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: 'ignore'});
	copyFileSync(process.execPath, 'dist/hemlockpier');
	chmodSync('dist/hemlockpier', 0o755);
	execFileSync('npx', [
		'postject',
		'dist/hemlockpier',
		'NODE_SEA_BLOB',
		'dist/hemlockpier.blob',
		'--sentinel-fuse',
		'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
	], {stdio: 'ignore'});
}
