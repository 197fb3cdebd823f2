/** Schemas, readers and validation of the daemon's settings and of the operators' configuration. */
export { checkConfiguration, readConfiguration } from './lib/checkConfiguration.js';
export {
  configurationSchema,
  poolKindSchema,
  type BackendServer,
  type Configuration,
  type Host,
  type InputField,
  type Limits,
  type Pipeline,
  type Pool,
  type PoolKind,
  type Rank,
  type Stage,
  type Workspace,
} from './lib/configuration.js';
export {
  formatConfigurationIssue,
  formatPath,
  type ConfigurationIssue,
} from './lib/ConfigurationIssue.js';
export { addressSchema, isLoopback, parseAddress, serverAddressSchema } from './lib/fields.js';
export {
  processSettingsSchema,
  type ProcessSettings,
  type TlsSettings,
} from './lib/processSettings.js';
export {
  mergeFiles,
  readConfigurationFolder,
  type MergedFolder,
  type SourceFile,
} from './lib/readConfigurationFolder.js';
export { readProcessSettings } from './lib/readProcessSettings.js';
