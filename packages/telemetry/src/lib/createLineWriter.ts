import { write } from 'node:fs';

/** Time for which lines are buffered before they are written. */
const FLUSH_INTERVAL_MS = 50;
/** Buffer limit while the reader of the log is slow; lines beyond it are dropped and counted. */
const MAX_PENDING_CHARACTERS = 512_000;

/**
 * Writes log lines without blocking the event loop.
 *
 * @public
 */
export interface LineWriter {
  /** Buffers one line, given without its line terminator. */
  readonly write: (line: string) => void;
  /** Writes all buffered lines; resolves when they are written. */
  readonly flush: () => Promise<void>;
}

/**
 * Creates a writer that buffers lines and writes them in the background. While the reader is slow,
 * lines beyond the buffer limit are dropped, and a log line reports their number.
 *
 * @param fileDescriptor - file descriptor that lines are written to
 * @returns the writer
 * @public
 */
export function createLineWriter(fileDescriptor: number): LineWriter {
  let pending: string[] = [];
  let pendingCharacters = 0;
  let droppedLines = 0;
  let writing: Promise<void> | undefined;
  let timer: NodeJS.Timeout | undefined;

  function drainPending(): string {
    if (droppedLines > 0)
      pending.push(JSON.stringify({ message: 'log lines dropped', leftOut: droppedLines }));
    const text = pending.length === 0 ? '' : `${pending.join('\n')}\n`;
    pending = [];
    pendingCharacters = 0;
    droppedLines = 0;
    return text;
  }

  function writeAll(bytes: Buffer): Promise<void> {
    return new Promise((resolve) => {
      write(fileDescriptor, bytes, (error, written) => {
        // A failed write of the log is ignored: there is nowhere else to report it.
        if (error !== null || written >= bytes.length) resolve();
        else resolve(writeAll(bytes.subarray(written)));
      });
    });
  }

  async function writePending(): Promise<void> {
    for (let text = drainPending(); text !== ''; text = drainPending()) {
      await writeAll(Buffer.from(text));
    }
  }

  function flush(): Promise<void> {
    writing ??= writePending().finally(() => {
      writing = undefined;
    });
    return writing;
  }

  return {
    write(line) {
      if (pendingCharacters + line.length > MAX_PENDING_CHARACTERS) {
        droppedLines += 1;
        return;
      }
      pending.push(line);
      pendingCharacters += line.length;
      timer ??= setTimeout(() => {
        timer = undefined;
        void flush();
      }, FLUSH_INTERVAL_MS);
    },
    flush,
  };
}
