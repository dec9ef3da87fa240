/** Yields the text of the `data` fields of each event in a stream of server-sent events. */
export async function * readServerSentEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let incomplete = '';
	for await (const chunk of body) {
		incomplete += decoder.decode(chunk, {stream: true});
		const events = incomplete.split('\n\n');
		incomplete = events.pop()!;
		for (const event of events) {
			const data = event.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice(6));
			if (data.length > 0) {
				yield data.join('\n');
			}
		}
	}
}
