import {type ServiceSettings} from '../settings/service-settings.js';

/** The configuration at one revision. A request uses the same snapshot from its start to its end. */
export type ConfigSnapshot = {
	readonly revision: number;
	/** Digest of each service's text, by service name. */
	readonly digests: Readonly<Record<string, string>>;
	/** Text of each service file, by digest. */
	readonly texts: Readonly<Record<string, string>>;
	readonly services: readonly ServiceSettings[];
};
