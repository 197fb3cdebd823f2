import { write } from 'node:fs';

/** Lines are collected for this long before they are written, in milliseconds. */
const FLUSH_INTERVAL_MS = 50;
/** Text kept while the reader of the log is slow, in characters; lines beyond are counted. */
const MAX_PENDING_CHARACTERS = 512_000;

/**
 * Writes log lines without ever holding up the process.
 *
 * @public
 */
export interface LineWriter {
  /** Takes one line without its line end. */
  readonly write: (line: string) => void;
  /** Writes what is pending; resolves when it is written. */
  readonly flush: () => Promise<void>;
}

/**
 * Creates a writer. It collects lines and writes them in the background; while the reader is slow,
 * lines beyond a bound are left out, and a line tells how many.
 *
 * @param fileDescriptor - where lines go
 * @returns the writer
 * @public
 */
export function createLineWriter(fileDescriptor: number): LineWriter {
  let pending: string[] = [];
  let size = 0;
  let leftOut = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  function takePending(): string {
    if (leftOut > 0) pending.push(JSON.stringify({ message: 'log lines were left out', leftOut }));
    const text = pending.length === 0 ? '' : `${pending.join('\n')}\n`;
    pending = [];
    size = 0;
    leftOut = 0;
    return text;
  }

  function writeAll(bytes: Buffer): Promise<void> {
    return new Promise((resolve) => {
      write(fileDescriptor, bytes, (error, written) => {
        // Nobody is left to tell when the log itself cannot be written.
        if (error !== null || written >= bytes.length) resolve();
        else resolve(writeAll(bytes.subarray(written)));
      });
    });
  }

  async function flush(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    for (let text = takePending(); text !== ''; text = takePending()) {
      await writeAll(Buffer.from(text));
    }
    isWriting = false;
  }

  return {
    write(line) {
      if (size + line.length > MAX_PENDING_CHARACTERS) {
        leftOut += 1;
        return;
      }
      pending.push(line);
      size += line.length;
      timer ??= setTimeout(() => {
        timer = undefined;
        void flush();
      }, FLUSH_INTERVAL_MS);
    },
    flush,
  };
}
