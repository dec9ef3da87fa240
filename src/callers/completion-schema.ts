import {z} from 'zod';

const part = z.object({type: z.literal('text'), text: z.string()});

/** Schema of completion bodies, both of `/v1/completions` and of `/v1/chat/completions`; other fields are ignored. */
export const completionSchema = z.object({
	model: z.string(),
	prompt: z.string().optional(),
	messages: z.array(z.object({role: z.string(), content: z.union([z.string(), z.array(part)])})).optional(),
	max_tokens: z.int().min(1).optional(),
	max_completion_tokens: z.int().min(1).optional(),
	stream: z.boolean().optional(),
	prompt_cache_key: z.string().max(256).optional(),
});
