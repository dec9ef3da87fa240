import {type ZodError} from 'zod';

const maxLength = 200;

/** Returns the field at fault and what is wrong with it, in a bounded text. */
export function describeFault({issues}: ZodError): string {
	const [first] = issues;
	return `${first && first.path.length > 0 ? first.path.join('.') : 'entry'}: ${first?.message ?? 'invalid'}`.slice(0, maxLength);
}
