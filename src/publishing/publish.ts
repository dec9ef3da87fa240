import {randomUUID} from 'node:crypto';
import {mergePublication} from '../decide/publishing/merge-publication.js';
import {PlatformUnavailableError} from '../errors/platform-unavailable-error.js';
import {SettingsError} from '../errors/settings-error.js';
import {type Platform} from '../platform/platform.js';
import {findServiceConflicts} from '../settings/find-service-conflicts.js';
import {parseServiceText} from '../settings/parse-service-text.js';
import {type ServiceFile} from '../settings/service-file.js';
import {computeSha256} from '../util/compute-sha256.js';
import {sleep} from '../util/sleep.js';
import {type ConfigHead} from './config-head.js';
import {configObjectKeys} from './config-object-keys.js';
import {PublishConflictError} from './publish-conflict-error.js';

const maxAttempts = 40;
const retryPauseMs = 50;

/** The head as read, with the version of its object; 0 when it does not exist yet. */
type VersionedHead = {readonly head: ConfigHead | undefined; readonly version: number};

async function readHead(platform: Platform): Promise<VersionedHead> {
	const object = await platform.read(configObjectKeys.head);
	return {head: object && JSON.parse(object.value) as ConfigHead, version: object?.version ?? 0};
}

/** Writes the files' texts under their digests; returns each service's digest. */
async function writeTexts(platform: Platform, files: readonly ServiceFile[]): Promise<Readonly<Record<string, string>>> {
	const entries = [];
	for (const {service, text} of files) {
		const digest = computeSha256(text);
		await platform.write(configObjectKeys.service(digest), text, 0);
		entries.push([service.service, digest] as const);
	}

	return Object.fromEntries(entries);
}

/**
Checks the published files for conflicts with the other services in force.
@throws {SettingsError} When there is a conflict.
*/
async function checkAgainstHead(platform: Platform, files: readonly ServiceFile[], head: ConfigHead | undefined): Promise<void> {
	const ownNames = new Set(files.map(file => file.service.service));
	const others: ServiceFile[] = [];
	for (const [name, digest] of Object.entries(head?.services ?? {})) {
		if (!ownNames.has(name)) {
			const object = await platform.read(configObjectKeys.service(digest));
			const file = `service ${name} in force`;
			others.push({file, text: object!.value, service: parseServiceText(file, object!.value)});
		}
	}

	const conflicts = findServiceConflicts([...others, ...files]);
	if (conflicts.length > 0) {
		throw new SettingsError(conflicts);
	}
}

/** Retries `step` while the platform is unavailable. Every step must be idempotent: an attempt that failed may have taken effect. */
async function retryWhileUnavailable<T>(step: () => Promise<T>, pause: (ms: number) => Promise<void>): Promise<T> {
	for (let attempt = 1; ; attempt++) {
		try {
			return await step();
		} catch (error) {
			if (!(error instanceof PlatformUnavailableError) || attempt === maxAttempts) {
				throw error;
			}

			await pause(retryPauseMs);
		}
	}
}

/**
Publishes service files by one conditional update of the head. After a lost response, the publication is found by its nonce.

@param pause - Waits for a number of milliseconds between attempts.
@returns The first revision that contains the publication.
@throws {PublishConflictError} When another publisher changed one of the services meanwhile.
@throws {SettingsError} When the files conflict with services in force.
@throws {PlatformUnavailableError} When the platform stays unavailable for all attempts.
*/
export async function publish(
	platform: Platform,
	files: readonly ServiceFile[],
	publisher: string,
	pause: (ms: number) => Promise<void> = sleep,
): Promise<number> {
	const nonce = randomUUID();
	const base = await retryWhileUnavailable(async () => readHead(platform), pause);
	const services = await retryWhileUnavailable(async () => writeTexts(platform, files), pause);
	return retryWhileUnavailable(async () => {
		for (;;) {
			const {head, version} = await readHead(platform);
			const merge = mergePublication(base.head, head, {nonce, publisher, services});
			// The write of an earlier attempt took effect although the attempt failed.
			if (merge.kind === 'done') {
				return merge.revision;
			}

			// Another publisher has changed one of the services since `base` was read.
			if (merge.kind === 'lost') {
				throw new PublishConflictError(merge.service, merge.winner, merge.revision);
			}

			await checkAgainstHead(platform, files, head);
			if (await platform.write(configObjectKeys.head, JSON.stringify(merge.head), version) !== undefined) {
				return merge.head.revision;
			}
		}
	}, pause);
}
