/** Loaded into a host of the soak before its program: each SIGUSR2 moves the host's time of day, forward and back by turns. */
const process = require('node:process');

const stepMs = 4000;
const {now} = Date;
let offset = 0;
Date.now = () => now() + offset;
process.on('SIGUSR2', () => {
	offset = offset === 0 ? stepMs : 0;
});
