/**
Chooses the weight version for a request: the version it is pinned to, else the model's desired version if any engine has loaded it,
else the version that most engines have loaded.

@param model - The model and its desired version.
@param loaded - Loaded model versions of each usable engine, as `model@version`.
@returns `undefined` when no engine can run the request.
*/
export function chooseVersion(
	model: {readonly name: string; readonly version: string},
	loaded: ReadonlyArray<readonly string[]>,
	pinned: string | undefined,
): string | undefined {
	const prefix = `${model.name}@`;
	const counts = new Map<string, number>();
	for (const modelVersion of loaded.flat()) {
		if (modelVersion.startsWith(prefix)) {
			const version = modelVersion.slice(prefix.length);
			counts.set(version, (counts.get(version) ?? 0) + 1);
		}
	}

	if (pinned !== undefined) {
		return counts.has(pinned) ? pinned : undefined;
	}

	if (counts.has(model.version)) {
		return model.version;
	}

	return [...counts].toSorted((a, b) => b[1] - a[1])[0]?.[0];
}
