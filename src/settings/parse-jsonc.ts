import {
	getLocation, parseTree, printParseErrorCode, type Node, type ParseError,
} from 'jsonc-parser';
import {type z} from 'zod';
import {SettingsError} from '../errors/settings-error.js';
import {findLine} from './find-line.js';
import {findNode} from './find-node.js';
import {formatPath} from './format-path.js';
import {type SettingsIssue} from './settings-issue.js';

function toValue(node: Node | undefined): unknown {
	const children = node?.children ?? [];
	if (node?.type === 'object') {
		return Object.fromEntries(children.map(property => [property.children![0]!.value as string, toValue(property.children![1])]));
	}

	return node?.type === 'array' ? children.map(child => toValue(child)) : node?.value as unknown;
}

function toSettingsIssues(file: string, text: string, root: Node | undefined, issues: readonly z.core.$ZodIssue[]): readonly SettingsIssue[] {
	return issues.flatMap(issue => {
		const paths = issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...issue.path, key]) : [issue.path];
		return paths.map(path => ({
			file,
			line: findLine(text, findNode(root, path)?.offset ?? 0),
			path: formatPath(path),
			message: issue.code === 'unrecognized_keys' ? 'unknown key' : issue.message,
		}));
	});
}

/**
Parses JSON with comments and validates it against a schema.

@throws {SettingsError} With the file, line and path of each issue.
*/
export function parseJsonc<T>(file: string, text: string, schema: z.ZodType<T>): T {
	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {allowTrailingComma: true});
	if (errors.length > 0) {
		throw new SettingsError(errors.map(({error, offset}) => ({
			file,
			line: findLine(text, offset),
			path: formatPath(getLocation(text, offset).path),
			message: printParseErrorCode(error),
		})));
	}

	const parsed = schema.safeParse(toValue(root));
	if (!parsed.success) {
		throw new SettingsError(toSettingsIssues(file, text, root, parsed.error.issues));
	}

	return parsed.data;
}
