import {parseServiceText} from '../settings/parse-service-text.js';
import {type ConfigHead} from './config-head.js';
import {type ConfigSnapshot} from './config-snapshot.js';

/**
Builds the snapshot for `head`; reads only the texts that `known` lacks and parses only services that changed.

@param readText - Returns the text with a digest.
*/
export async function loadConfigSnapshot(
	head: Pick<ConfigHead, 'revision' | 'services'>,
	known: ConfigSnapshot | undefined,
	readText: (digest: string) => Promise<string>,
): Promise<ConfigSnapshot> {
	const texts: Record<string, string> = {};
	for (const digest of Object.values(head.services)) {
		texts[digest] = known?.texts[digest] ?? await readText(digest);
	}

	const services = Object.entries(head.services).map(([name, digest]) => {
		const unchanged = known?.digests[name] === digest ? known.services.find(service => service.service === name) : undefined;
		return unchanged ?? parseServiceText(name, texts[digest]!);
	});
	return {
		revision: head.revision, digests: head.services, texts, services,
	};
}
