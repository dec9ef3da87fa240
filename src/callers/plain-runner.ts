import {type PlainResponse} from './plain-response.js';
import {type PlainRequest} from './plain-request.js';

/**
Runs a request to a plain service; one that may not be repeated runs at most once for its key.
@throws {Refusal} When there is no whole answer.
*/
export type PlainRunner = (req: PlainRequest) => Promise<PlainResponse>;
