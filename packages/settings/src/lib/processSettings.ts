import { availabilityZoneIdSchema, hostIdSchema } from '@endiveferry/base';
import { z } from 'zod';

import { addressSchema, isLoopback } from './fields.js';

const tlsSchema = z.strictObject({
  certificateFile: z.string().min(1).describe('PEM file with the certificate chain of this host'),
  keyFile: z.string().min(1).describe('PEM file with the private key of this host'),
  authorityFile: z
    .string()
    .min(1)
    .optional()
    .describe('PEM file with the authority that signs peers; required for the peers listener'),
});

const platformSchema = z.union([
  z.strictObject({
    url: z.url().describe('base URL of the platform configuration service'),
  }),
  z.strictObject({
    folder: z
      .string()
      .min(1)
      .describe('a local configuration folder in place of the platform, for trials'),
  }),
]);

/** Validator of the daemon's own settings. @public */
export const processSettingsSchema = z
  .strictObject({
    hostId: hostIdSchema.describe('the id under which the platform lists this host'),
    availabilityZone: availabilityZoneIdSchema.describe('the availability zone this host is in'),
    callers: z
      .strictObject({
        address: addressSchema.describe('where callers connect'),
        tls: tlsSchema.optional().describe('serve callers over TLS with these files'),
      })
      .describe('the listener for callers'),
    peers: z
      .strictObject({
        address: addressSchema.describe('where other hosts connect'),
        tls: tlsSchema.optional().describe('mutual TLS; may be left out on loopback only'),
        seeds: z
          .record(hostIdSchema, addressSchema)
          .default({})
          .describe('addresses of some other hosts, to start from while the platform is down'),
      })
      .describe('the listener for other hosts'),
    operators: z
      .strictObject({
        address: addressSchema.describe('where operators and the platform balancer connect'),
        token: z
          .string()
          .min(16)
          .optional()
          .describe('bearer token; required unless the address is loopback'),
      })
      .describe('the listener for operators'),
    platform: platformSchema.describe('where configuration and host lists come from'),
    logLevel: z
      .enum(['trace', 'debug', 'info', 'warn', 'error'])
      .default('info')
      .describe('the least severe log level that is written'),
  })
  .superRefine((settings, context) => {
    const { peers, operators } = settings;
    if (!isLoopback(peers.address) && peers.tls === undefined) {
      context.addIssue({
        code: 'custom',
        path: ['peers', 'tls'],
        message: 'is required, because the address is not a loopback one',
      });
    }
    if (peers.tls !== undefined && peers.tls.authorityFile === undefined) {
      context.addIssue({
        code: 'custom',
        path: ['peers', 'tls', 'authorityFile'],
        message: 'is required, because hosts check each other',
      });
    }
    if (!isLoopback(operators.address) && operators.token === undefined) {
      context.addIssue({
        code: 'custom',
        path: ['operators', 'token'],
        message: 'is required, because the address is not a loopback one',
      });
    }
  });

/** The daemon's own settings. @public */
export type ProcessSettings = z.infer<typeof processSettingsSchema>;

/** Where a listener finds its TLS files. @public */
export type TlsSettings = z.infer<typeof tlsSchema>;
