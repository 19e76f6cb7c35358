import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';

import { LineWriter, Logger, LogLevel } from '../../index';

const SECOND_MS = 1_000;

describe('LineWriter', () => {
  function createWriter(pendingBytes: number) {
    const time = new EmulatedTime();
    const written: string[] = [];
    const output = {
      writableLength: pendingBytes,
      write: (text: string) => written.push(text),
    };
    return { time, written, writer: new LineWriter(time, output) };
  }

  /** Writes a line if it is admitted, as a logger does. */
  function record(writer: LineWriter, line: string, event: string): void {
    if (writer.admit(event)) {
      writer.write(line);
    }
  }

  it('writes buffered lines together after the flush delay', async () => {
    const { time, written, writer } = createWriter(0);
    record(writer, 'one', 'event');
    record(writer, 'two', 'event');
    expect(written).toEqual([]);
    await time.advance(SECOND_MS);
    expect(written).toEqual(['one\ntwo\n']);
  });

  it('drops lines above the rate limit of an event and reports their number', async () => {
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

  it('drops lines while the reader is too far behind', async () => {
    const { time, written, writer } = createWriter(300_000);
    record(writer, 'lost', 'event');
    await time.advance(SECOND_MS);
    expect(written).toEqual([]);
  });

  it('prevents the formatting of lines that are dropped', () => {
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
