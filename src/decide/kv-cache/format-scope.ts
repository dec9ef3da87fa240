import {type KvScope} from './kv-scope.js';

/** Formats a scope as the text by which engines and stores identify it. */
export function formatScope({model, version, workspace}: KvScope): string {
	return [model, String(version), ...(workspace === undefined ? [] : [workspace])].map(part => encodeURIComponent(part)).join('/');
}
