import {type AnswerListener} from './answer-listener.js';
import {type RunningSend} from './running-send.js';
import {type UpstreamMessage} from './upstream-message.js';

/** Connections to one upstream. */
export type UpstreamLink = {
	readonly send: (message: UpstreamMessage, listener: AnswerListener) => RunningSend;
	/** Closes idle connections now and the others with their requests. */
	readonly close: () => void;
};
