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
    .describe('PEM file with the certificate authority of peers; required for the peers listener'),
});

const platformSchema = z.union([
  z.strictObject({
    url: z.url().describe('base URL of the platform configuration service'),
  }),
  z.strictObject({
    folder: z
      .string()
      .min(1)
      .describe('a local configuration folder used instead of the platform, for trials'),
  }),
]);

/** Schema of the settings of one daemon process. @public */
export const processSettingsSchema = z
  .strictObject({
    hostId: hostIdSchema.describe('id of this host on the platform'),
    availabilityZone: availabilityZoneIdSchema.describe('availability zone of this host'),
    callers: z
      .strictObject({
        address: addressSchema.describe('ip:port of the callers listener'),
        tls: tlsSchema.optional().describe('serves callers over TLS with these files'),
      })
      .describe('listener for callers'),
    peers: z
      .strictObject({
        address: addressSchema.describe('ip:port of the peers listener'),
        tls: tlsSchema.optional().describe('mutual TLS; optional on a loopback address only'),
        seeds: z
          .record(hostIdSchema, addressSchema)
          .default({})
          .describe('addresses of other hosts to start from while the platform is unavailable'),
      })
      .describe('listener for other hosts'),
    operators: z
      .strictObject({
        address: addressSchema.describe(
          'ip:port of the listener for operators and the load balancer of the platform',
        ),
        token: z
          .string()
          .min(16)
          .optional()
          .describe('bearer token; required unless the address is loopback'),
      })
      .describe('listener for operators'),
    platform: platformSchema.describe('source of the configuration and of host lists'),
    logLevel: z
      .enum(['trace', 'debug', 'info', 'warn', 'error'])
      .default('info')
      .describe('minimum log level that is written'),
  })
  .superRefine((settings, context) => {
    const { peers, operators } = settings;
    if (!isLoopback(peers.address) && peers.tls === undefined) {
      context.addIssue({
        code: 'custom',
        path: ['peers', 'tls'],
        message: 'is required because the address is not a loopback address',
      });
    }
    if (peers.tls !== undefined && peers.tls.authorityFile === undefined) {
      context.addIssue({
        code: 'custom',
        path: ['peers', 'tls', 'authorityFile'],
        message: 'is required because hosts verify the certificates of their peers',
      });
    }
    if (!isLoopback(operators.address) && operators.token === undefined) {
      context.addIssue({
        code: 'custom',
        path: ['operators', 'token'],
        message: 'is required because the address is not a loopback address',
      });
    }
  });

/** Settings of one daemon process. @public */
export type ProcessSettings = z.infer<typeof processSettingsSchema>;

/** Paths of the TLS files of a listener. @public */
export type TlsSettings = z.infer<typeof tlsSchema>;
