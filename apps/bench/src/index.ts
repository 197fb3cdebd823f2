/** Stand-ins of what the system is used with, and the experiments that measure it. */
export { createFleet, type Fleet, type FleetOptions } from './lib/createFleet.js';
export { runBench } from './lib/runBench.js';
export { runStart } from './lib/runStart.js';
export { runLoads } from './lib/loads/runLoads.js';
