/** Gives `compute` with its last result kept for as long as the argument is the same object. */
export function memoizeLast<A extends object, R>(compute: (argument: A) => R): (argument: A) => R {
	let last: {readonly argument: A; readonly result: R} | undefined;
	return argument => {
		if (last?.argument !== argument) {
			last = {argument, result: compute(argument)};
		}

		return last.result;
	};
}
