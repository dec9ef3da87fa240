import {type Node} from 'jsonc-parser';

/** Finds the node at a path, or its deepest existing ancestor. */
export function findNode(root: Node | undefined, path: readonly PropertyKey[]): Node | undefined {
	let node = root;
	for (const part of path) {
		const child = typeof part === 'number'
			? node?.children?.[part]
			: node?.children?.find(property => property.children?.[0]?.value === part)?.children?.[1];
		if (!child) {
			break;
		}

		node = child;
	}

	return node;
}
