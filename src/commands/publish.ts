import {userInfo, hostname} from 'node:os';
import {type CommandModule} from 'yargs';
import {type DomainStatus} from '../orders/domain-status.js';
import {callJson} from '../http/call-json.js';
import {createHttpPlatform} from '../platform/create-http-platform.js';
import {type Platform} from '../platform/platform.js';
import {publish} from '../publishing/publish.js';
import {readServiceFiles} from '../settings/read-service-files.js';
import {sleep} from '../util/sleep.js';
import {printResult} from './print-result.js';

const pollIntervalMs = 200;
const statusTimeoutMs = 1000;

/** Arguments of `publish`. */
type PublishArguments = {
	readonly dir: readonly string[];
	readonly platform: string;
	readonly wait: number;
	readonly json: boolean;
};

/** A host and the revision that it has in force; 0 when it does not respond. */
type HostRevision = {
	readonly host: string;
	readonly revision: number;
};

/** Lists the hosts that are up, from the status objects of all failure domains. */
async function readHosts(platform: Platform): Promise<ReadonlyArray<{readonly name: string; readonly operators: string}>> {
	const keys = await platform.list('status/');
	const objects = await Promise.all(keys.map(async key => platform.read(key)));
	return objects
		.flatMap(object => object ? (JSON.parse(object.value) as DomainStatus).hosts : [])
		.filter(host => host.state !== 'dead' && host.state !== 'left');
}

async function readRevision(operators: string): Promise<number> {
	try {
		const {body} = await callJson(`http://${operators}/status`, {timeoutMs: statusTimeoutMs});
		return body.revision as number;
	} catch {
		return 0;
	}
}

/** Waits until the revision is in force at all hosts or the timeout expires; returns each host's revision. */
async function waitUntilInForce(platform: Platform, revision: number, waitS: number): Promise<readonly HostRevision[]> {
	const deadlineAt = Date.now() + (waitS * 1000);
	for (;;) {
		const hosts = await readHosts(platform);
		const revisions = await Promise.all(hosts.map(async ({name, operators}) => ({host: name, revision: await readRevision(operators)})));
		const isInForce = revisions.length > 0 && revisions.every(host => host.revision >= revision);
		if (isInForce || Date.now() >= deadlineAt) {
			return revisions;
		}

		await sleep(pollIntervalMs);
	}
}

/** Validates service files and puts them in force. */
export const publishCommand: CommandModule<unknown, PublishArguments> = {
	command: 'publish <dir...>',
	describe: 'validate service files and put them in force',
	builder: yargs => yargs
		.positional('dir', {type: 'string', array: true, demandOption: true})
		.option('platform', {type: 'string', demandOption: true, describe: 'URL of the platform'})
		.option('wait', {type: 'number', default: 0, describe: 'seconds to wait until the revision is in force at all hosts'}) as never,
	async handler({dir, platform: url, wait, json}) {
		const files = readServiceFiles(dir);
		const platform = createHttpPlatform(url);
		const revision = await publish(platform, files, `${userInfo().username}@${hostname()}`);
		const hosts = wait > 0 ? await waitUntilInForce(platform, revision, wait) : [];
		const lagging = hosts.filter(host => host.revision < revision);
		const lines = [
			`revision ${revision} is accepted`,
			...hosts.map(host => `${host.host}: ${host.revision >= revision ? 'in force' : `not in force (revision ${host.revision})`}`),
		];
		printResult(json, {revision, hosts}, lines);
		if (lagging.length > 0) {
			throw new Error(`revision ${revision} is not in force at ${lagging.map(host => host.host).join(', ')}`);
		}
	},
};
