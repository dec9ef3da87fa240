/**
How the end of a response's body is marked:
- `length`: by a stated length;
- `chunked`: by a last chunk;
- `close`: only by the end of the connection;
- `none`: the response has no body.
*/
export type ResponseFraming = 'length' | 'chunked' | 'close' | 'none';
