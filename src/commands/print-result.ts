import process from 'node:process';

/** Prints a command's result: as JSON for machines, else as lines of text. */
export function printResult(asJson: boolean, result: unknown, lines: readonly string[]): void {
	process.stdout.write(asJson ? `${JSON.stringify(result)}\n` : `${lines.join('\n')}\n`);
}
