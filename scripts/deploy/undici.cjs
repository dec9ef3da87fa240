/** The part of undici that hosts use; its index also loads fetch, WebSocket, caches and mocks, which take up a host's start. */
const Agent = require('../../node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../../node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../../node_modules/undici/lib/dispatcher/dispatcher.js');
const Pool = require('../../node_modules/undici/lib/dispatcher/pool.js');
const apiRequest = require('../../node_modules/undici/lib/api/api-request.js');
const buildConnector = require('../../node_modules/undici/lib/core/connect.js');

Dispatcher.prototype.request = apiRequest;

const defaultAgent = new Agent();

/** Sends a request to a URL, as undici's own function does. */
async function request(url, {dispatcher = defaultAgent, method, ...options} = {}) {
	const {origin, pathname, search} = new URL(url);
	return dispatcher.request({
		...options, origin, path: `${pathname}${search}`, method: method ?? (options.body ? 'PUT' : 'GET'),
	});
}

module.exports = {
	Agent, Client, Dispatcher, Pool, buildConnector, request,
};
