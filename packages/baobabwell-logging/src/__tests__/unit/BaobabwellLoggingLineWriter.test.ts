import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';

import { LineWriter, Logger, LogLevel } from '../../index';

const SECOND_MS = 1_000;

describe('the writer of log lines', () => {
  function createWriter(pendingBytes: number) {
    const time = new EmulatedTime();
    const written: string[] = [];
    const output = {
      writableLength: pendingBytes,
      write: (text: string) => written.push(text),
    };
    return { time, written, writer: new LineWriter(time, output) };
  }

  /** Hands a line over as a logger does: only when it was admitted. */
  function record(writer: LineWriter, line: string, event: string): void {
    if (writer.admit(event)) {
      writer.write(line);
    }
  }

  it('writes lines together, soon after the first', async () => {
    const { time, written, writer } = createWriter(0);
    record(writer, 'one', 'event');
    record(writer, 'two', 'event');
    expect(written).toEqual([]);
    await time.advance(SECOND_MS);
    expect(written).toEqual(['one\ntwo\n']);
  });

  it('drops what goes beyond the budget of an event and says how much', async () => {
    const { time, written, writer } = createWriter(0);
    for (let line = 0; line < 450; line += 1) {
      record(writer, String(line), 'noisy');
    }
    record(writer, 'other', 'quiet');
    await time.advance(2 * SECOND_MS);
    record(writer, 'later', 'quiet');
    await time.advance(SECOND_MS);
    const lines = written.join('').trimEnd().split('\n');
    expect(lines.length).toEqual(400 + 3);
    expect(lines.at(-2)?.endsWith('event=log-lines-dropped dropped=noisy count=50')).toEqual(true);
  });

  it('writes nothing while the reader is too far behind', async () => {
    const { time, written, writer } = createWriter(300_000);
    record(writer, 'lost', 'event');
    await time.advance(SECOND_MS);
    expect(written).toEqual([]);
  });

  it('lets no line be formatted that it would drop', () => {
    const { writer } = createWriter(300_000);
    let formattedCount = 0;
    const write = (): void => {
      formattedCount += 1;
    };
    const logger = new Logger(LogLevel.Info, {}, write, writer.admit);
    logger.recordInfo('event');
    logger.recordError('event');
    expect(formattedCount).toEqual(0);
  });
});
