import { z } from 'zod';

/** Validator of a port that a listener may take; 0 asks the operating system for a free one. */
const portPattern = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;

/** Validator of `ip:port`; addresses are IP numbers, so that nothing waits for a name service. @internal */
export const addressSchema = z.string().refine((text) => {
  const match = portPattern.exec(text);
  return match !== null && Number(match[1]) <= 65_535;
}, 'must be an IP number and a port, such as 10.0.0.7:7100 or [::1]:7100');

/** Validator of a share of a whole. @internal */
export const shareSchema = z.number().min(0).max(1);

/** Validator of a duration in milliseconds. @internal */
export const durationSchema = z.int().min(1).max(86_400_000);

/**
 * Tells whether an address can be reached from its own machine only.
 *
 * @param address - `ip:port`
 * @returns whether the IP number is a loopback one
 * @public
 */
export function isLoopback(address: string): boolean {
  return address.startsWith('127.') || address.startsWith('[::1]:');
}

/**
 * Splits an address into what a socket takes.
 *
 * @param address - `ip:port`
 * @returns the IP number without brackets, and the port
 * @public
 */
export function parseAddress(address: string): { readonly ip: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  return {
    ip: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
}
