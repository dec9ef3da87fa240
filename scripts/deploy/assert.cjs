/** Stands for `node:assert` in a host's bundle: checks without the comparison of texts in colours, whose loading takes up a host's start. */
const {isDeepStrictEqual} = require('node:util');

function assert(condition, message = 'assertion failed') {
	if (!condition) {
		throw message instanceof Error ? message : new Error(message);
	}
}

module.exports = Object.assign(assert, {
	ok: assert,
	strictEqual: (actual, expected, message) => assert(Object.is(actual, expected), message),
	notStrictEqual: (actual, expected, message) => assert(!Object.is(actual, expected), message),
	deepStrictEqual: (actual, expected, message) => assert(isDeepStrictEqual(actual, expected), message),
	equal: (actual, expected, message) => assert(actual == expected, message), // eslint-disable-line eqeqeq
});
