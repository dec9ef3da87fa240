import {readFile} from 'node:fs/promises';
import {log} from '../observe/log.js';

/** The file is read this often, since it may change without a signal. */
const checkIntervalMs = 2000;

/** What the watch needs. */
type SettingsWatchOptions<T> = {
	readonly file: string;
	/** Reads settings from a text; throws where it does not pass its checks. */
	readonly parse: (text: string) => T;
	readonly onChange: (settings: T) => void;
};

/** Follows a settings file. */
type SettingsWatch = {
	/** Reads the file now. */
	readonly check: () => Promise<void>;
	readonly stop: () => void;
};

/** Follows a settings file by reading it again. A text that does not pass its checks changes nothing and is logged once. */
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
			log.error({file, error: String(error)}, 'settings can not be read anew; those in force stay');
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
