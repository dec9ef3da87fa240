import {type ServiceSettings} from '../settings/service-settings.js';

/** Configuration in force at one revision. A request keeps the snapshot that it began with. */
export type ConfigSnapshot = {
	readonly revision: number;
	/** Digest of each service's text. */
	readonly digests: Readonly<Record<string, string>>;
	/** Text of each service file, by digest. */
	readonly texts: Readonly<Record<string, string>>;
	readonly services: readonly ServiceSettings[];
};
