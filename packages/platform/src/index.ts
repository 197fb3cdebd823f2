/** Reading and watching what the platform publishes. */
export {
  startPlatformClient,
  type PlatformClientOptions,
  type PlatformListener,
} from './lib/startPlatformClient.js';
export { hostListSchema, type HostList, type PublishedConfiguration } from './lib/messages.js';
