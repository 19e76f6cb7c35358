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
    const isReserved = (event: string): boolean => event === 'reserved';
    return { time, written, output, writer: new LineWriter(time, output, isReserved) };
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

  it('writes lines in parts that a pipe takes whole', async () => {
    const { time, written, writer } = createWriter(0);
    const lines = Array.from({ length: 100 }, (_, index) => `${index} ${'x'.repeat(150)}`);
    lines.forEach((line) => record(writer, line, 'event'));
    await time.advance(SECOND_MS);
    expect(written.every((text) => text.length <= 4_096 && text.endsWith('\n'))).toEqual(true);
    expect(written.join('')).toEqual(`${lines.join('\n')}\n`);
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

  it('keeps a reserve for reserved events while ordinary lines are dropped', async () => {
    const { time, written, writer } = createWriter(262_145);
    record(writer, 'lost', 'event');
    record(writer, 'kept', 'reserved');
    await time.advance(SECOND_MS);
    expect(written).toEqual(['kept\n']);
  });

  it('drops reserved events too when the reserve is used up', async () => {
    const { time, written, writer } = createWriter(262_145);
    const line = 'x'.repeat(1_023);
    for (let count = 0; count < 200; count += 1) {
      record(writer, line, 'reserved');
    }
    await time.advance(SECOND_MS);
    expect(written.join('').length).toEqual(131_072);
  });

  it('admits more lines of a reserved event a second, up to a limit of their own', async () => {
    const { time, written, writer } = createWriter(0);
    for (let count = 0; count < 1_500; count += 1) {
      record(writer, 'x', 'reserved');
    }
    await time.advance(SECOND_MS);
    expect(written.join('').length).toEqual(2 * 1_000);
  });

  it('writes no counts of dropped lines while the reserve is used up, and all of them later', async () => {
    const { time, written, output, writer } = createWriter(500_000);
    for (let second = 0; second < 3; second += 1) {
      record(writer, 'lost', 'event');
      await time.advance(SECOND_MS);
    }
    expect(written).toEqual([]);
    output.writableLength = 0;
    record(writer, 'later', 'event');
    await time.advance(SECOND_MS);
    const [line] = written.join('').split('\n');
    expect(line?.endsWith('event=log-lines-dropped dropped=event count=3')).toEqual(true);
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
