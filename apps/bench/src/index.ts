/** Benchmark of the system: fleets of daemons with stand-in servers, and experiments on them. */
export { createFleet, type Fleet, type FleetOptions } from './lib/createFleet.js';
export { runBench } from './lib/runBench.js';
export { runStart } from './lib/runStart.js';
export { runLoads } from './lib/loads/runLoads.js';
