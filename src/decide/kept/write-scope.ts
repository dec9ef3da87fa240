import {type Scope} from './scope.js';

/** Writes a scope as the text under which engines and stores keep context. */
export function writeScope({model, version, workspace}: Scope): string {
	return [model, String(version), ...(workspace === undefined ? [] : [workspace])].map(part => encodeURIComponent(part)).join('/');
}
