import { isIP } from 'node:net';

import { z } from 'zod';

/** Matches `ip:port` and captures the port; port 0 lets the operating system choose a free one. */
const addressPattern = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;

/** Schema of `ip:port`; host names are not accepted, so no connection waits for DNS. @public */
export const addressSchema = z.string().refine((text) => {
  const match = addressPattern.exec(text);
  return match !== null && Number(match[1]) <= 65_535 && isIP(parseAddress(text).ip) !== 0;
}, 'must be an IP address and a port, such as 10.0.0.7:7100 or [::1]:7100');

/** Schema of the address of a server, whose port is known. @public */
export const serverAddressSchema = addressSchema.refine(
  (text) => parseAddress(text).port > 0,
  'must have a port above 0',
);

/** Schema of a share, from 0 to 1. @internal */
export const shareSchema = z.number().min(0).max(1);

/** Schema of a duration in milliseconds, up to one day. @internal */
export const durationSchema = z.int().min(1).max(86_400_000);

/**
 * Returns whether an address is reachable from the local machine only.
 *
 * @param address - `ip:port`
 * @returns whether the IP address is a loopback address
 * @public
 */
export function isLoopback(address: string): boolean {
  return address.startsWith('127.') || address.startsWith('[::1]:');
}

/**
 * Splits an address into IP address and port.
 *
 * @param address - `ip:port`
 * @returns the IP address, without the brackets of IPv6, and the port
 * @public
 */
export function parseAddress(address: string): { readonly ip: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  return {
    ip: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
}
