import {type PlainService} from '../settings/plain-service.js';

/** Checks whether `path` matches `pattern`, in which a segment such as `:id` matches any one non-empty segment. */
function matchesPattern(pattern: string, path: string): boolean {
	const patternParts = pattern.split('/');
	const pathParts = path.split('/');
	return patternParts.length === pathParts.length
		&& patternParts.every((part, index) => (part.startsWith(':') && pathParts[index] !== '') || part === pathParts[index]);
}

/**
Finds the route of a plain service for a method and a path.

@returns The route; `path` when no route matches the path, `method` when only the method differs.
*/
export function matchRoute(service: PlainService, method: string, path: string): PlainService['routes'][number] | 'path' | 'method' {
	const byPath = service.routes.filter(route => matchesPattern(route.path, path));
	return byPath.find(route => route.method === method) ?? (byPath.length === 0 ? 'path' : 'method');
}
