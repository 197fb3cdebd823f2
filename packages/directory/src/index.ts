/** Client of the platform's configuration service: long polls for configuration and hosts. */
export {
  startDirectoryClient,
  type DirectoryClientOptions,
  type DirectoryListener,
} from './lib/startDirectoryClient.js';
export { hostListSchema, type HostList, type PublishedConfiguration } from './lib/messages.js';
