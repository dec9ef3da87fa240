/**
Stands for `node:assert` in a host's bundle: the checks that undici and yargs make, without the comparison of texts in colours, whose loading
takes up a host's start.
*/
function assert(condition, message = 'assertion failed') {
	if (!condition) {
		throw message instanceof Error ? message : new Error(message);
	}
}

module.exports = Object.assign(assert, {
	strictEqual: (actual, expected, message) => assert(Object.is(actual, expected), message),
	notStrictEqual: (actual, expected, message) => assert(!Object.is(actual, expected), message),
});
