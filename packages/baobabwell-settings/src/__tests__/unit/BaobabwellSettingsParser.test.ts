import type { Settings } from '../../BaobabwellSettingsSchema';

import { expect } from 'earl';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { formatFinding } from '@baobabwell/utils';

import { parseSettings, readSettings } from '../../BaobabwellSettingsParser';

const PEERS_SECRET = 'sixteen-characters-and-more';

const FAULTY = `name: Faulty Name
entries:
  - { id: entry-1, dataCentre: north, callers: 10.0.0.1:8000, operators: 10.0.0.1:8100, peers: 10.0.0.1:8000 }
  - { id: entry-1, dataCentre: south, callers: 10.0.0.2:8000, operators: 10.0.0.300:8100, peers: 10.0.0.2:8200, colour: red }
platform:
  url: ftp://10.0.0.9
  timeout: 800
  timeout: 900ms
peers:
  secret: too-short
log: { level: loud }
retries: 3
fleet:
  organisations: [{ id: education, share: 0 }]
  teams:
    - { id: schools, organisation: eduction, share: 1, limit: 2.5 }
  keys: [{ id: key-1, team: guilds, digest: not-a-digest }]
  operators: [{ id: duty, role: king }]
  pools:
    - id: ovens
      minimumServing: 3
      hosts:
        - { id: oven-1, rack: rack-1, dataCentre: north, address: 10.0.1.1:8500, cores: 16, memory: 64 }
        - { id: oven-2, rack: rack-1, dataCentre: south, address: 10.0.1.1:8500, cores: 16, memory: 64GB }
  targets: [{ id: enrolment, pool: oven }]
  queues:
    - { id: nightly, target: enrolments, teams: [schools, bakers], mode: deferred, deadline: 5 hours }
    - id: enrolments
      target: enrolment
      deadline: 2s
      window: { opens: '08:00', closes: '25:00' }
      objective: { success: 120%, latency: 3s }
`;

const MINIMAL = `name: minimal
entries:
  - { id: entry-1, dataCentre: north, callers: 10.0.0.1:8000, operators: 10.0.0.1:8100, peers: 10.0.0.1:8200 }
platform: { url: 'http://10.0.0.9:9000' }
peers: { secretFile: peers.secret }
fleet: { organisations: [], teams: [], operators: [], pools: [], targets: [], queues: [] }
`;

function parse(text: string, secretText: string | null = null): Settings | readonly string[] {
  const parsed = parseSettings(text, 'fleet.yaml', secretText);
  return parsed.ok ? parsed.value : parsed.error.map(formatFinding);
}

function getSizes({ entries, fleet }: Settings): unknown {
  const hosts = fleet.pools.flatMap((pool) => pool.hosts);
  return {
    entries: entries.length,
    dataCentres: new Set(entries.map(({ dataCentre }) => dataCentre)).size,
    organisations: fleet.organisations.length,
    hostsByPool: fleet.pools.map((pool) => [pool.id, pool.hosts.length, pool.spare]),
    hosts: hosts.length,
    largestRack: Math.max(
      ...hosts.map((host) => hosts.filter(({ rack }) => rack === host.rack).length),
    ),
    machines: [...new Set(hosts.map(({ cores, memory }) => `${cores} cores, ${memory} GB`))],
    queues: fleet.queues.map(({ id, mode, window }) => [id, mode, window]),
  };
}

describe('parseSettings', () => {
  it('reports all problems of a file together, each with its location and the allowed values', function () {
    expect(parse(FAULTY)).toMatchSnapshot(this);
  });

  it('does not quote secrets in findings', () => {
    const broken = `${MINIMAL.replace('secretFile: peers.secret', `secret: "${PEERS_SECRET}`)}`;
    const doubled = MINIMAL.replace(
      'secretFile: peers.secret',
      `secret: ${PEERS_SECRET}, secret: a`,
    );
    const texts = [parse(FAULTY), parse(broken), parse(doubled)].flat().join('\n');
    expect(texts.includes('fleet.yaml:5')).toEqual(true);
    expect(/too-short|sixteen/.test(texts)).toEqual(false);
  });

  it("reads the peers' secret from its file, and refuses a missing or short one", () => {
    expect(parse(MINIMAL, `${PEERS_SECRET}\n`)).toLooseEqual(
      expect.subset({ peers: { secret: PEERS_SECRET } }),
    );
    const allowed = '(allowed: a readable file with a secret of 16 characters or more)';
    expect([parse(MINIMAL), parse(MINIMAL, 'short')].flat()).toEqual([
      `fleet.yaml:5:22 peers.secretFile: the file cannot be read ${allowed}`,
      `fleet.yaml:5:22 peers.secretFile: the secret in the file is too short ${allowed}`,
    ]);
  });
});

describe('readSettings', () => {
  it('resolves the secret file relative to the settings file', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'baobabwell-settings-'));
    await writeFile(join(folder, 'fleet.yaml'), MINIMAL);
    await writeFile(join(folder, 'peers.secret'), PEERS_SECRET);
    const read = await readSettings(join(folder, 'fleet.yaml'));
    await rm(folder, { recursive: true });
    expect(read.ok && read.value.peers.secret).toEqual(PEERS_SECRET);
  });

  ['braudvakt', 'agenda'].forEach((name) => {
    it(`accepts examples/${name}.yaml and reads its complete fleet`, async function () {
      const read = await readSettings(`examples/${name}.yaml`);
      expect(read.ok ? getSizes(read.value) : read.error.map(formatFinding)).toMatchSnapshot(this);
    });
  });
});
