/** Orders to model engines: who may give them, and how fast. */
export { createLoadPacer, type LoadPacer } from './lib/createLoadPacer.js';
export {
  createOrderKeeper,
  type Order,
  type OrderKeeper,
  type OrderKeeperOptions,
} from './lib/createOrderKeeper.js';
