import process from 'node:process';
import {benchConfig} from './bench-config.js';
import {benchContext} from './bench-context.js';
import {benchGateway} from './bench-gateway.js';
import {benchGrants} from './bench-grants.js';
import {benchLedger} from './bench-ledger.js';
import {benchMembership} from './bench-membership.js';
import {benchPeers} from './bench-peers.js';
import {benchRedundancy} from './bench-redundancy.js';

const benches: Readonly<Record<string, () => void | Promise<void>>> = {
	membership: benchMembership,
	config: benchConfig,
	context: benchContext,
	gateway: benchGateway,
	grants: benchGrants,
	ledger: benchLedger,
	peers: benchPeers,
	'table-one': benchRedundancy,
};

/** Benches that warm up by themselves or need no warm-up. */
const withoutWarmUp: ReadonlySet<string> = new Set(['table-one', 'gateway']);

/** Runs a bench and discards its output. */
async function runMuted(bench: () => void | Promise<void>): Promise<void> {
	const {write} = process.stdout;
	process.stdout.write = () => true;
	await bench();
	process.stdout.write = write;
}

async function run(names: readonly string[]): Promise<void> {
	for (const name of names) {
		if (!withoutWarmUp.has(name)) {
			// The first run warms up the JIT compiler.
			await runMuted(benches[name]!);
		}

		process.stdout.write(`\n## ${name}\n`);
		await benches[name]!();
	}
}

const selected = process.argv.slice(2);
void run(selected.length > 0 ? selected : Object.keys(benches));
