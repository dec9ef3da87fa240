import {type SettingsIssue} from '../settings/settings-issue.js';

/** Settings or service files are invalid. */
export class SettingsError extends Error {
	constructor(readonly issues: readonly SettingsIssue[]) {
		super(issues.map(issue => `${issue.file}:${issue.line}: ${issue.path}: ${issue.message}`).join('\n'));
		this.name = 'SettingsError';
	}
}
