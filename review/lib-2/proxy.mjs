/**
 * A proxy between one process and one service of the platform. While it is cut, it delivers nothing in either
 * direction, as a partition does: bytes that were sent meanwhile arrive once the cut has healed, unless their sender
 * has reset the connection.
 */
import { connect, createServer } from 'node:net';

export class Proxy {
  #target;

  #server = null;

  #isCut = false;

  #links = new Set();

  constructor(target) {
    const [host, port] = target.split(':');
    this.#target = { host, port: Number(port) };
  }

  async open(host) {
    this.#server = createServer({ allowHalfOpen: true, noDelay: true }, (client) =>
      this.#accept(client),
    );
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, host, resolve);
    });
    return `${host}:${this.#server.address().port}`;
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    this.#links.forEach((link) => {
      link.deliver();
      link.reply();
    });
  }

  close() {
    this.#server?.close();
    this.#links.forEach(({ client, target }) => {
      client.destroy();
      target?.destroy();
    });
  }

  #accept(client) {
    const link = {
      client,
      target: null,
      toTarget: [],
      toClient: [],
      hasClientEnded: false,
      hasTargetEnded: false,
      deliver: () => this.#deliver(link),
      reply: () => this.#reply(link),
    };
    this.#links.add(link);
    client.on('data', (chunk) => {
      link.toTarget.push(chunk);
      link.deliver();
    });
    client.on('end', () => {
      link.hasClientEnded = true;
      link.deliver();
    });
    client.on('error', () => {
      // The sender has reset the connection: what is held up is lost.
      link.toTarget = [];
      link.target?.destroy();
      client.destroy();
      this.#links.delete(link);
    });
    link.deliver();
  }

  #deliver(link) {
    if (this.#isCut || !this.#links.has(link)) {
      return;
    }
    const state = link;
    state.target ??= this.#connect(link);
    link.toTarget.splice(0).forEach((chunk) => link.target.write(chunk));
    if (link.hasClientEnded) {
      link.target.end();
    }
  }

  #connect(link) {
    const state = link;
    const target = connect({ ...this.#target, noDelay: true, allowHalfOpen: true });
    target.on('data', (chunk) => {
      link.toClient.push(chunk);
      link.reply();
    });
    target.on('end', () => {
      state.hasTargetEnded = true;
      link.reply();
    });
    target.on('error', () => {
      state.hasTargetEnded = true;
      link.reply();
    });
    target.on('close', () => this.#links.delete(link));
    return target;
  }

  #reply(link) {
    if (this.#isCut || link.client.destroyed) {
      return;
    }
    link.toClient.splice(0).forEach((chunk) => link.client.write(chunk));
    if (link.hasTargetEnded) {
      link.client.end();
    }
  }
}
