/**
Runs the tests. Failures that KNOWN-RED.txt lists are printed and ignored; any other failure fails the run, and so does an error that no test has caught.
Each entry of KNOWN-RED.txt begins with a line `test: FILE > NAME`.
*/
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, rmSync} from 'node:fs';
import process from 'node:process';

const reportFile = 'dist/test-report.json';
const errorsFile = 'dist/unhandled-errors.json';
const reporters = ['default', 'json', './scripts/unhandled-errors-reporter.js'];
rmSync(errorsFile, {force: true});
const {status} = spawnSync('npx', ['vitest', 'run', ...reporters.map(reporter => `--reporter=${reporter}`), `--outputFile.json=${reportFile}`, ...process.argv.slice(2)], {
	stdio: 'inherit', env: {...process.env, UNHANDLED_ERRORS_FILE: errorsFile},
});

const knownNames = existsSync('KNOWN-RED.txt')
	? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim())
	: [];
const {testResults, numTotalTests} = JSON.parse(readFileSync(reportFile, 'utf8'));
const results = testResults.flatMap(file => {
	const name = file.name.replace(`${process.cwd()}/`, '');
	// A hook that fails leaves its file's tests skipped, none of them failed.
	const fileFailure = file.status === 'failed' && file.assertionResults.every(test => test.status !== 'failed') ? [{status: 'failed', name: `${name} > (file)`}] : [];
	return [...fileFailure, ...file.assertionResults.map(test => ({status: test.status, name: `${name} > ${test.fullName}`}))];
});
const failed = results.filter(test => test.status === 'failed');
const knownFailures = failed.filter(test => knownNames.includes(test.name));
const newFailures = failed.filter(test => !knownNames.includes(test.name));
const passed = results.filter(test => test.status === 'passed').length;

for (const test of knownFailures) {
	console.log(`known red: ${test.name}`);
}

for (const test of newFailures) {
	console.log(`failed: ${test.name}`);
}

const unhandledErrors = JSON.parse(readFileSync(errorsFile, 'utf8'));
for (const error of unhandledErrors) {
	console.log(`unhandled error: ${error}`);
}

const didRun = numTotalTests > 0 && (status === 0 || failed.length > 0 || unhandledErrors.length > 0);
const failures = newFailures.length + unhandledErrors.length + (didRun ? 0 : 1);
console.log(`${passed} passed, ${failures} failed`);
process.exit(failures === 0 ? 0 : 1);
