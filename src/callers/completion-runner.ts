import {type CompletionRequest} from './completion-request.js';
import {type Usage} from './usage.js';

/**
Runs a completion to its end, resuming it on another engine when a stream breaks.
@param onToken - Called exactly once for each token of the response, in order.
@throws {Refusal} When the request is refused or no complete response can be produced.
*/
export type CompletionRunner = (request: CompletionRequest, onToken: (text: string) => Promise<void>) => Promise<Usage>;
