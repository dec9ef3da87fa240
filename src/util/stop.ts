/** Stops a task and waits until its sockets and timers are closed. */
export type Stop = () => Promise<void>;
