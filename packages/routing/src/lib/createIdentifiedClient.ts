import { Client, type Dispatcher } from 'undici';

/**
 * Number of ids that a connection has carried last and that are not sent on it again. A server may
 * repeat a response late, usually at the next call; more distance covers calls without an id between.
 */
const MAX_RECENT_IDS = 8;

/** Id that a call carried. @public */
export interface SentId {
  readonly id: string;
  /** Whether the connection had carried no call before, so that no earlier response can arrive. */
  readonly isFirstOnConnection: boolean;
}

/**
 * Ids of which a call carries one, so that its response can be told from those of other calls on the
 * same connection.
 *
 * @public
 */
export interface CallIds {
  /** Name of the header that carries the id. */
  readonly headerName: string;
  /** Ids that may be sent; at least one. */
  readonly candidates: readonly string[];
  /** Called with the id that was chosen, before the call is written. */
  readonly onChosen: (sent: SentId) => void;
}

/** Options of a dispatched call, with the ids that it may carry. @internal */
export type IdentifiedOptions = Dispatcher.DispatchOptions & { readonly ids?: CallIds | undefined };

/** Options of {@link createIdentifiedClient}. @internal */
export interface IdentifiedClientOptions {
  readonly origin: URL;
  readonly options: Client.Options;
  /** Sends a call on a connection of its own, because this one carried all its ids. */
  readonly dispatchSeparately: (
    options: IdentifiedOptions,
    handler: Dispatcher.DispatchHandler,
  ) => void;
}

/**
 * Creates a client with one connection that adds an id to each call which names some. The id is one
 * that the connection has not carried recently; a call without such an id is sent separately.
 *
 * @param options - see {@link IdentifiedClientOptions}
 * @returns the client
 * @internal
 */
export function createIdentifiedClient({
  origin,
  options,
  dispatchSeparately,
}: IdentifiedClientOptions): Client {
  const client = new Client(origin, options);
  const dispatch = client.dispatch.bind(client);
  let recentIds: readonly string[] = [];
  let hasCarriedCall = false;
  client.on('disconnect', () => {
    recentIds = [];
    hasCarriedCall = false;
  });

  // Here the call has its connection, but its headers are not encoded yet.
  client.dispatch = (call: IdentifiedOptions, handler) => {
    const { ids, ...rest } = call;
    const id = ids?.candidates.find((candidate) => !recentIds.includes(candidate));
    if (ids !== undefined && id === undefined) {
      dispatchSeparately(call, handler);
      return true;
    }
    const isFirstOnConnection = !hasCarriedCall;
    hasCarriedCall = true;
    if (ids === undefined || id === undefined) return dispatch(rest, handler);
    recentIds = [id, ...recentIds].slice(0, MAX_RECENT_IDS);
    ids.onChosen({ id, isFirstOnConnection });
    const headers = Array.isArray(rest.headers) ? rest.headers : [];
    return dispatch({ ...rest, headers: [...headers, ids.headerName, id] }, handler);
  };
  return client;
}
