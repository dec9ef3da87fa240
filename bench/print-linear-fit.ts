import process from 'node:process';
import {linearRegression, rSquared, linearRegressionLine} from 'simple-statistics';

/** Prints the points of a bench and the line fitted to them. */
export function printLinearFit(name: string, unit: string, points: ReadonlyArray<readonly [number, number]>): void {
	const mutable = points.map(([x, y]) => [x, y]);
	const line = linearRegression(mutable);
	const fit = rSquared(mutable, linearRegressionLine(line));
	const list = points.map(([x, y]) => `${x}: ${y.toPrecision(3)}`).join(', ');
	process.stdout.write(`${name} [${unit}]\n  ${list}\n  = ${line.b.toPrecision(3)} + ${line.m.toPrecision(3)} x (R2 ${fit.toFixed(3)})\n`);
}
