// Parts that several cases use: the configuration of a small deployment, and its callers.
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';

export const createId = () => randomBytes(8).toString('hex');

/** The entry of a replica in the store. */
export const buildEntry = (service, address, slots) => ({
  service,
  address,
  zone: 'zone-a',
  version: 'v1',
  slots,
  state: 'ready',
  warmup_left_ms: 0,
  sequence: 1,
});

/** A route for streams that run once. */
export const streamRoute = {
  name: 'r-plan',
  host: 'shop.example',
  prefix: '/plan/',
  route_type: 'streaming',
  timeout_ms: 15_000,
  target_latency_ms: 1_200,
  priority: 0,
  service: 'pool',
  max_attempts: 1,
  phases: [],
  public: true,
  sticky: true,
  resumable: false,
  itl_target_ms: 400,
};

/** A route for requests that run once. */
export const bookRoute = {
  name: 'r-book',
  host: 'shop.example',
  prefix: '/book/',
  route_type: 'non_idempotent',
  timeout_ms: 4_000,
  target_latency_ms: 386,
  priority: 2,
  service: 'desk',
  max_attempts: 1,
  phases: [],
  public: true,
  sticky: false,
  resumable: false,
};

const service = { health_path: '/healthz', protocol: 'h1', tls: false };

/** A configuration with these routes. */
export const buildConfiguration = (routes, engineSlots = 64) => ({
  version: 7,
  routes,
  services: [
    { ...service, name: 'desk', max_conns: 96 },
    {
      ...service,
      name: 'pool',
      max_conns: 360,
      engine: { slots: engineSlots, kv_capacity: 541_218 },
    },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
});

/** Sends a request and resolves to how it ended: a status, `cut` or the code of an error. */
export function send(address, { id, path, agent = false, deadlineMs = 15_000 }) {
  return new Promise((resolve) => {
    const call = request({
      ...address,
      agent,
      method: 'POST',
      path,
      headers: {
        Host: 'shop.example',
        'Endiveferry-Attempt-Id': id,
        'Endiveferry-Deadline-Ms': String(deadlineMs),
        'Endiveferry-Model': 'm',
        'Endiveferry-Token-Usage': '250,600',
        'Endiveferry-Prefix-Hash': `${id}:250`,
      },
    });
    call.on('response', (response) => {
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () => resolve(response.complete ? `${response.statusCode}` : 'cut'));
    });
    call.on('error', (error) => resolve(error.code));
    call.end('{}');
  });
}
