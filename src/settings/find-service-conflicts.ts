import {type ServiceFile} from './service-file.js';
import {type SettingsIssue} from './settings-issue.js';

/** A value that must be unique across all service files: its path in the file, and the value with a label for messages. */
type UniqueValue = {
	readonly path: string;
	readonly what: string;
};

function listUniqueValues({service}: ServiceFile): readonly UniqueValue[] {
	const upstreams = service.upstreams.map((upstream, index) => ({path: `upstreams[${index}].url`, what: `upstream ${upstream.url}`}));
	const names = service.upstreams.map((upstream, index) => ({path: `upstreams[${index}].name`, what: `upstream name "${upstream.name}"`}));
	if (service.kind === 'plain') {
		return [{path: 'service', what: `service "${service.service}"`}, ...upstreams, ...names];
	}

	return [
		{path: 'service', what: `service "${service.service}"`},
		{path: 'pool', what: `engine pool "${service.pool}"`},
		...service.models.map((model, index) => ({path: `models[${index}].name`, what: `model "${model.name}"`})),
		...upstreams,
		...names,
	];
}

/** Finds the first line of the file that contains the value, counted from 1. */
function findLine(text: string, uniqueValue: UniqueValue): number {
	const value = /"(?<value>.+)"$/v.exec(uniqueValue.what)?.groups?.value ?? uniqueValue.what.split(' ', 2)[1]!;
	const offset = text.indexOf(`"${value}"`);
	return text.slice(0, Math.max(0, offset)).split('\n').length;
}

/** Finds values that two service files share but must not: a service name, a model, an engine pool or an upstream. */
export function findServiceConflicts(files: readonly ServiceFile[]): readonly SettingsIssue[] {
	const filesByValue = new Map<string, ServiceFile>();
	const issues: SettingsIssue[] = [];
	for (const file of files) {
		for (const uniqueValue of listUniqueValues(file)) {
			const firstFile = filesByValue.get(uniqueValue.what);
			if (firstFile) {
				issues.push({
					file: file.file,
					line: findLine(file.text, uniqueValue),
					path: uniqueValue.path,
					message: `${uniqueValue.what} is already claimed by ${firstFile.file}`,
				});
			} else {
				filesByValue.set(uniqueValue.what, file);
			}
		}
	}

	return issues;
}
