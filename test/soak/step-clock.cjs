/** Preloaded into soak hosts: each SIGUSR2 moves the wall clock, alternately forward by 4 s and back. */
const process = require('node:process');

const stepMs = 4000;
const {now} = Date;
let offset = 0;
Date.now = () => now() + offset;
process.on('SIGUSR2', () => {
	offset = offset === 0 ? stepMs : 0;
});
