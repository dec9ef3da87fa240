/** Stands for `node:http2` in a host's bundle: upstreams and the store speak HTTP/1.1, and loading the module takes up a host's start. */
module.exports = {constants: {}};
