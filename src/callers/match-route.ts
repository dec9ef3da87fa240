import {type PlainService} from '../settings/plain-service.js';

/** Says whether `path` fits `pattern`, in which a part such as `:id` stands for any one part. */
function matchesPattern(pattern: string, path: string): boolean {
	const patternParts = pattern.split('/');
	const pathParts = path.split('/');
	return patternParts.length === pathParts.length
		&& patternParts.every((part, index) => (part.startsWith(':') && pathParts[index] !== '') || part === pathParts[index]);
}

/**
Finds the route of a plain service for a method and a path.

@returns The route, or which of path and method no route has.
*/
export function matchRoute(service: PlainService, method: string, path: string): PlainService['routes'][number] | 'path' | 'method' {
	const byPath = service.routes.filter(route => matchesPattern(route.path, path));
	return byPath.find(route => route.method === method) ?? (byPath.length === 0 ? 'path' : 'method');
}
