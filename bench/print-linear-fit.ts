import process from 'node:process';
import {linearRegression, rSquared, linearRegressionLine} from 'simple-statistics';

/** Prints the points of a bench and their linear regression. */
export function printLinearFit(name: string, unit: string, points: ReadonlyArray<readonly [number, number]>): void {
	const mutable = points.map(([x, y]) => [x, y]);
	const line = linearRegression(mutable);
	const determination = rSquared(mutable, linearRegressionLine(line));
	const pointList = points.map(([x, y]) => `${x}: ${y.toPrecision(3)}`).join(', ');
	process.stdout.write(`${name} [${unit}]\n  ${pointList}\n  = ${line.b.toPrecision(3)} + ${line.m.toPrecision(3)} x (R2 ${determination.toFixed(3)})\n`);
}
