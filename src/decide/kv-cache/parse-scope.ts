import {type KvScope} from './kv-scope.js';

/**
Parses a scope that `formatScope` wrote.

@returns `undefined` when the text has no version number in second place.
@throws {URIError} When the text contains a malformed percent escape.
*/
export function parseScope(text: string): KvScope | undefined {
	const [model, version, workspace, group] = text.split('/').map(part => decodeURIComponent(part));
	return model === undefined || version === undefined || !/^\d+$/v.test(version)
		? undefined
		: {
			model, version: Number(version), workspace: group === undefined ? workspace : undefined, group,
		};
}
