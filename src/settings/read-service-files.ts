import {readdirSync, readFileSync, statSync} from 'node:fs';
import path from 'node:path';
import {SettingsError} from '../errors/settings-error.js';
import {findServiceConflicts} from './find-service-conflicts.js';
import {parseServiceText} from './parse-service-text.js';
import {type ServiceFile} from './service-file.js';
import {type SettingsIssue} from './settings-issue.js';

const suffix = '.hemlockpier.jsonc';

function listFiles(location: string): readonly string[] {
	if (!statSync(location).isDirectory()) {
		return [location];
	}

	return readdirSync(location, {recursive: true, encoding: 'utf8'})
		.filter(name => name.endsWith(suffix) && !name.includes('node_modules'))
		.toSorted()
		.map(name => path.join(location, name));
}

/**
Reads the service files at or below `locations` and validates each of them and all of them together.

@throws {SettingsError} With all issues found.
*/
export function readServiceFiles(locations: readonly string[]): readonly ServiceFile[] {
	const issues: SettingsIssue[] = [];
	const files: ServiceFile[] = [];
	for (const location of locations) {
		let fileNames: readonly string[] = [];
		try {
			fileNames = listFiles(location);
		} catch {
			issues.push({
				file: location, line: 1, path: '(root)', message: 'no such file or folder',
			});
		}

		for (const file of fileNames) {
			const text = readFileSync(file, 'utf8');
			try {
				files.push({file, text, service: parseServiceText(file, text)});
			} catch (error) {
				if (!(error instanceof SettingsError)) {
					throw error;
				}

				issues.push(...error.issues);
			}
		}
	}

	if (files.length === 0 && issues.length === 0) {
		issues.push({
			file: locations.join(' '), line: 1, path: '(root)', message: `no file ends in ${suffix}`,
		});
	}

	issues.push(...findServiceConflicts(files));
	if (issues.length > 0) {
		throw new SettingsError(issues);
	}

	return files;
}
