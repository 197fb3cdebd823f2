/** Reading and watching what the platform publishes. */
export {
  createPlatformClient,
  type PlatformClient,
  type PlatformClientOptions,
  type PlatformListener,
} from './lib/createPlatformClient.js';
export { hostListSchema, type HostList, type PublishedConfiguration } from './lib/messages.js';
