import {type CompletionRequest} from './completion-request.js';
import {type Usage} from './usage.js';

/**
Runs a completion to its end, resuming it on another engine when a stream breaks.
@param onToken - Called with every token of the answer, in order, each once.
@throws {Refusal} When no whole answer can be had.
*/
export type CompletionRunner = (request: CompletionRequest, onToken: (text: string) => Promise<void>) => Promise<Usage>;
