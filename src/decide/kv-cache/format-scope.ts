import {type KvScope} from './kv-scope.js';

/** Formats a scope as the text by which engines and stores identify it. */
export function formatScope({model, version, workspace, group}: KvScope): string {
	const sharers = group === undefined ? [] : ['', group];
	return [model, String(version), ...(workspace === undefined ? sharers : [workspace])].map(part => encodeURIComponent(part)).join('/');
}
