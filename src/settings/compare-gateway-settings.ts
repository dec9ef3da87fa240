import {isDeepStrictEqual} from 'node:util';
import {type GatewaySettings} from './gateway-settings.js';

/** Keys that take effect while the host runs. All others need a restart, because either all hosts must agree on them or sockets are bound to them. */
const liveKeys: ReadonlySet<string> = new Set(['seeds', 'bounds.retryRatio', 'bounds.retrySlack', 'bounds.graceS', 'bounds.versionMs', 'bounds.coldOvershoot', 'bounds.coldSlack']);

/** Keys of the settings that have changed. */
type SettingsChange = {
	/** Keys that take effect at once. */
	readonly live: readonly string[];
	/** Keys that take effect at the next start. */
	readonly atStart: readonly string[];
};

/** Returns the settings by key, with the keys of `bounds` as `bounds.key`. */
function flatten({bounds, ...rest}: GatewaySettings): ReadonlyMap<string, unknown> {
	return new Map([
		...Object.entries(rest),
		...Object.entries(bounds).map(([key, value]) => [`bounds.${key}`, value] as const),
	]);
}

/** Compares reloaded settings with those in force. */
export function compareGatewaySettings(before: GatewaySettings, after: GatewaySettings): SettingsChange {
	const old = flatten(before);
	const changed = [...flatten(after)].filter(([key, value]) => !isDeepStrictEqual(value, old.get(key))).map(([key]) => key);
	return {live: changed.filter(key => liveKeys.has(key)), atStart: changed.filter(key => !liveKeys.has(key))};
}
