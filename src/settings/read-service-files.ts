import {readdirSync, readFileSync, statSync} from 'node:fs';
import path from 'node:path';
import {SettingsError} from '../errors/settings-error.js';
import {findServiceConflicts} from './find-service-conflicts.js';
import {parseServiceText} from './parse-service-text.js';
import {type ServiceFile} from './service-file.js';
import {type SettingsIssue} from './settings-issue.js';

const suffix = '.hemlockpier.jsonc';

function listFiles(place: string): readonly string[] {
	if (!statSync(place).isDirectory()) {
		return [place];
	}

	return readdirSync(place, {recursive: true, encoding: 'utf8'})
		.filter(name => name.endsWith(suffix) && !name.includes('node_modules'))
		.toSorted()
		.map(name => path.join(place, name));
}

/**
Collects the service files below `places` and checks them, each alone and all together.

@throws {SettingsError} Naming every fault.
*/
export function readServiceFiles(places: readonly string[]): readonly ServiceFile[] {
	const faults: SettingsIssue[] = [];
	const files: ServiceFile[] = [];
	for (const place of places) {
		let names: readonly string[] = [];
		try {
			names = listFiles(place);
		} catch {
			faults.push({
				file: place, line: 1, path: '(root)', message: 'no such file or folder',
			});
		}

		for (const file of names) {
			const text = readFileSync(file, 'utf8');
			try {
				files.push({file, text, service: parseServiceText(file, text)});
			} catch (error) {
				if (!(error instanceof SettingsError)) {
					throw error;
				}

				faults.push(...error.issues);
			}
		}
	}

	if (files.length === 0 && faults.length === 0) {
		faults.push({
			file: places.join(' '), line: 1, path: '(root)', message: `no file ends in ${suffix}`,
		});
	}

	faults.push(...findServiceConflicts(files));
	if (faults.length > 0) {
		throw new SettingsError(faults);
	}

	return files;
}
