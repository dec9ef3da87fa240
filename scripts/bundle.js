/**
Bundles the program. Without options, writes CommonJS bundles to dist/; with `--binary`, also writes dist/hemlockpier, a Node single
executable application. With `--deploy DIR`, writes DIR/hemlockpier.cjs instead, which runs the program from a V8 code cache that is made here.
*/
import {execFileSync, spawnSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, existsSync, mkdirSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const commonOptions = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	mainFields: ['module', 'main'],
	logLevel: 'error',
	// Plots are rendered as SVG; the canvas build would require a native module.
	alias: {'vega-canvas': './node_modules/vega-canvas/build/vega-canvas.browser.js'},
};
// Roarr loggers write nothing unless this variable is set before Roarr is loaded.
const roarrBanner = 'process.env.ROARR_LOG ??= "true";';
const commonJsOptions = {
	format: 'cjs',
	banner: {js: `${roarrBanner} const importMetaUrl = require("node:url").pathToFileURL(__filename).href;`},
	define: {'import.meta.url': 'importMetaUrl'},
};
/** Flags that hosts run with, as in deploy/system.toml; V8 rejects a code cache that was created under different flags. */
const hostFlags = ['--no-flush-bytecode', '--max-old-space-size=96', '--min-semi-space-size=4', '--max-semi-space-size=4'];

/** A build without a code cache runs too. */
const rehearsalLimitMs = 60_000;

async function bundleForDeploy(outdir) {
	mkdirSync(outdir, {recursive: true});
	await build({
		...commonOptions,
		...commonJsOptions,
		entryPoints: ['src/main.ts'],
		outfile: `${outdir}/program.cjs`,
		minify: true,
		keepNames: true,
		// Hosts render no plots.
		external: ['vega', 'vega-lite'],
		alias: {
			...commonOptions.alias,
			undici: './scripts/deploy/undici.cjs',
			'node:http2': './scripts/deploy/http2.cjs',
			assert: './scripts/deploy/assert.cjs',
			'node:assert': './scripts/deploy/assert.cjs',
		},
	});
	copyFileSync('scripts/load-cached.cjs', `${outdir}/hemlockpier.cjs`);
	spawnSync(process.execPath, ['scripts/deploy/rehearse.js', outdir, ...hostFlags], {stdio: 'inherit', timeout: rehearsalLimitMs});
}

async function bundleForLocalUse() {
	mkdirSync('dist', {recursive: true});
	const entries = [['src/main.ts', 'dist/hemlockpier.cjs'], ['bench/main.ts', 'dist/hemlockpier-bench.cjs'], ['test/soak/main.ts', 'dist/hemlockpier-soak.cjs']];
	for (const [entry, outfile] of entries) {
		if (!existsSync(entry)) {
			continue;
		}

		await build({
			...commonOptions,
			entryPoints: [entry],
			outfile,
			...commonJsOptions,
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

const deployFlagIndex = process.argv.indexOf('--deploy');
if (deployFlagIndex === -1) {
	await bundleForLocalUse();
	if (process.argv.includes('--binary')) {
		buildBinary();
	}
} else {
	await bundleForDeploy(process.argv[deployFlagIndex + 1]);
}
