/**
Bundles the program. Plainly: to CommonJS in dist/; with `--binary` also dist/hemlockpier, a Node single executable; with
`--deploy DIR`: to DIR/hemlockpier.mjs with one chunk a command, so that a host loads only what it runs.
*/
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, existsSync, mkdirSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const common = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	mainFields: ['module', 'main'],
	logLevel: 'error',
	// Plots are drawn as SVG; the canvas build would need a native module.
	alias: {'vega-canvas': './node_modules/vega-canvas/build/vega-canvas.browser.js'},
};
// Roarr makes silent loggers unless this variable is set when it is first loaded.
const logBanner = 'process.env.ROARR_LOG ??= "true";';

async function bundleForDeploy(outdir) {
	mkdirSync(outdir, {recursive: true});
	await build({
		...common,
		entryPoints: {hemlockpier: 'src/main.ts'},
		outdir,
		format: 'esm',
		splitting: true,
		minify: true,
		keepNames: true,
		outExtension: {'.js': '.mjs'},
		banner: {js: `${logBanner} import {createRequire as makeRequire} from 'node:module'; const require = makeRequire(import.meta.url);`},
	});
}

async function bundleForUse() {
	mkdirSync('dist', {recursive: true});
	const entries = [['src/main.ts', 'dist/hemlockpier.cjs'], ['bench/main.ts', 'dist/hemlockpier-bench.cjs'], ['test/soak/main.ts', 'dist/hemlockpier-soak.cjs']];
	for (const [entry, outfile] of entries) {
		if (!existsSync(entry)) {
			continue;
		}

		await build({
			...common,
			entryPoints: [entry],
			outfile,
			format: 'cjs',
			banner: {js: `${logBanner} const importMetaUrl = require("node:url").pathToFileURL(__filename).href;`},
			define: {'import.meta.url': 'importMetaUrl'},
		});
	}
}

function buildBinary() {
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

const deployAt = process.argv.indexOf('--deploy');
if (deployAt === -1) {
	await bundleForUse();
	if (process.argv.includes('--binary')) {
		buildBinary();
	}
} else {
	await bundleForDeploy(process.argv[deployAt + 1]);
}
