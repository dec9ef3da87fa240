import {type ServiceFile} from './service-file.js';
import {type SettingsIssue} from './settings-issue.js';

/** What must be unique over all service files: a label for messages, the path in the file, and the values. */
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

function findLine(text: string, claim: UniqueValue): number {
	const value = /"(?<value>.+)"$/v.exec(claim.what)?.groups?.value ?? claim.what.split(' ', 2)[1]!;
	const at = text.indexOf(`"${value}"`);
	return text.slice(0, Math.max(0, at)).split('\n').length;
}

/** Finds what two service files claim at once: a service name, a model, an engine pool or an upstream. */
export function findServiceConflicts(files: readonly ServiceFile[]): readonly SettingsIssue[] {
	const owners = new Map<string, ServiceFile>();
	const faults: SettingsIssue[] = [];
	for (const file of files) {
		for (const claim of listUniqueValues(file)) {
			const owner = owners.get(claim.what);
			if (owner) {
				faults.push({
					file: file.file,
					line: findLine(file.text, claim),
					path: claim.path,
					message: `${claim.what} is already claimed by ${owner.file}`,
				});
			} else {
				owners.set(claim.what, file);
			}
		}
	}

	return faults;
}
