import {type SseEventScanner} from './sse-event-scanner.js';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/**
Creates a scanner for the ends of events. An event ends with an empty line; a line ends with LF, CRLF or CR, as the
specification of server-sent events has it. Once a line has ended with CRLF, a CR alone ends none: its LF may still arrive.
*/
export function createSseEventScanner(): SseEventScanner {
	let unfinishedBytes = 0;
	let isLineEmpty = true;
	let isAfterCarriageReturn = false;
	let hasCrlf = false;
	/** Whether the CR before this byte ended an empty line. */
	let isAfterEmptyLine = false;

	/** @returns Whether an event is complete after this byte. */
	const scanByte = (byte: number): boolean => {
		if (byte === lineFeed && isAfterCarriageReturn) {
			isAfterCarriageReturn = false;
			hasCrlf = true;
			return isAfterEmptyLine;
		}

		isAfterCarriageReturn = byte === carriageReturn;
		if (byte !== lineFeed && byte !== carriageReturn) {
			isLineEmpty = false;
			return false;
		}

		isAfterEmptyLine = isLineEmpty;
		isLineEmpty = true;
		return isAfterEmptyLine && !(isAfterCarriageReturn && hasCrlf);
	};

	return {
		scan(chunk) {
			let end = 0;
			let scannedBytes = 0;
			for (const byte of chunk) {
				scannedBytes++;
				if (scanByte(byte)) {
					end = scannedBytes;
					unfinishedBytes = 0;
				} else {
					unfinishedBytes++;
				}
			}

			return end;
		},
		unfinishedBytes: () => unfinishedBytes,
	};
}
