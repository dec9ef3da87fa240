import {type SettingsIssue} from '../settings/settings-issue.js';

/** Settings or service files that do not pass their checks. */
export class SettingsError extends Error {
	constructor(readonly issues: readonly SettingsIssue[]) {
		super(issues.map(fault => `${fault.file}:${fault.line}: ${fault.path}: ${fault.message}`).join('\n'));
		this.name = 'SettingsError';
	}
}
