import {type KvScope} from './kv-scope.js';

/** Reads a scope that `formatScope` wrote; `undefined` for any other text. */
export function parseScope(text: string): KvScope | undefined {
	const [model, version, workspace] = text.split('/').map(part => decodeURIComponent(part));
	return model === undefined || version === undefined || !/^\d+$/v.test(version)
		? undefined
		: {model, version: Number(version), workspace};
}
