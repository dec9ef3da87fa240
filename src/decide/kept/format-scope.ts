import {type KvScope} from './kv-scope.js';

/** Writes a scope as the text under which engines and stores keep context. */
export function formatScope({model, version, workspace}: KvScope): string {
	return [model, String(version), ...(workspace === undefined ? [] : [workspace])].map(part => encodeURIComponent(part)).join('/');
}
