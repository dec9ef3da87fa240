import {type PlainResponse} from './plain-response.js';
import {type PlainRequest} from './plain-request.js';

/**
Runs a request to a plain service. A request that may not be repeated runs at most once per idempotency key.
@throws {Refusal} When the request is refused or no complete response arrives.
*/
export type PlainRunner = (req: PlainRequest) => Promise<PlainResponse>;
