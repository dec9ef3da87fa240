import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** A reporter of vitest that writes the errors which no test has caught to the file named by `UNHANDLED_ERRORS_FILE`, as a JSON list of strings. */
export default class UnhandledErrorsReporter {
	onTestRunEnd(_modules, unhandledErrors) {
		const file = process.env.UNHANDLED_ERRORS_FILE;
		mkdirSync(path.dirname(file), {recursive: true});
		writeFileSync(file, JSON.stringify(unhandledErrors.map(error => `${error.stack ?? error.message}`.split('\n').slice(0, 4).join(' '))));
	}
}
