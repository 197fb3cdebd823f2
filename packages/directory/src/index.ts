/** Reading and watching what the platform publishes. */
export {
  startDirectoryClient,
  type DirectoryClientOptions,
  type DirectoryListener,
} from './lib/startDirectoryClient.js';
export { hostListSchema, type HostList, type PublishedConfiguration } from './lib/messages.js';
