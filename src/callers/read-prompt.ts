import {type z} from 'zod';
import {type completionSchema} from './completion-schema.js';

/** Returns the prompt text of a completion body, with chat messages as `role: content` lines; `undefined` when it has none. */
export function readPrompt(body: z.infer<typeof completionSchema>): string | undefined {
	if (body.messages === undefined) {
		return body.prompt;
	}

	return body.messages
		.map(({role, content}) => `${role}: ${typeof content === 'string' ? content : content.map(part => part.text).join('')}`)
		.join('\n');
}
