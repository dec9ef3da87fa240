import {readFile} from 'node:fs/promises';
import {log} from '../observe/log.js';

/** Interval at which the file is read, since it may change without a signal. */
const checkIntervalMs = 2000;

/** Options of `createSettingsWatch`. */
type SettingsWatchOptions<T> = {
	readonly file: string;
	/** Parses the text of the file; throws when it is invalid. */
	readonly parse: (text: string) => T;
	/** Called with the new settings after each valid change. */
	readonly onChange: (settings: T) => void;
};

/** Watches a settings file. */
type SettingsWatch = {
	/** Reads the file now. */
	readonly check: () => Promise<void>;
	readonly stop: () => void;
};

/** Watches a settings file by polling it. An invalid text changes nothing and is logged once. */
export function createSettingsWatch<T>({file, parse, onChange}: SettingsWatchOptions<T>): SettingsWatch {
	let lastText: string | undefined;

	const check = async (): Promise<void> => {
		try {
			const text = await readFile(file, 'utf8');
			const hasChanged = lastText !== undefined && text !== lastText;
			lastText = text;
			if (hasChanged) {
				onChange(parse(text));
			}
		} catch (error) {
			log.error({file, error: String(error)}, 'changed settings cannot be read; the settings in force stay');
		}
	};

	const timer = setInterval(() => {
		void check();
	}, checkIntervalMs);
	timer.unref();
	void check();
	return {
		check,
		stop() {
			clearInterval(timer);
		},
	};
}
