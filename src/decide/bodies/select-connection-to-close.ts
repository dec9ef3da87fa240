/** What a connection does: it has sent no whole request head yet, waits for its next request, has a request under way, or ends after its last answer. */
type ConnectionUse = 'silent' | 'idle' | 'busy' | 'ending';

/**
Selects the connection that is closed for a new one when the bound is reached, from `connections` in the order in which they were opened. Answers crowds of
connections that send nothing or part of a head.

@returns The oldest one that is silent or ends; if there is none, the oldest idle one; `undefined` if all have requests under way.
*/
export function selectConnectionToClose<Connection>(connections: Iterable<Connection>, getUse: (connection: Connection) => ConnectionUse): Connection | undefined {
	let oldestIdle: Connection | undefined;
	for (const connection of connections) {
		const use = getUse(connection);
		if (use === 'silent' || use === 'ending') {
			return connection;
		}

		if (use === 'idle') {
			oldestIdle ??= connection;
		}
	}

	return oldestIdle;
}
