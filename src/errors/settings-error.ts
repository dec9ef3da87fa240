import {type SettingsFault} from '../settings/settings-fault.js';

/** Settings or service files that do not pass their checks. */
export class SettingsError extends Error {
	constructor(readonly faults: readonly SettingsFault[]) {
		super(faults.map(fault => `${fault.file}:${fault.line}: ${fault.path}: ${fault.message}`).join('\n'));
		this.name = 'SettingsError';
	}
}
