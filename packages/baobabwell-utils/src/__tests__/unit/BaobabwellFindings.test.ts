import { expect } from 'earl';

import { FindingList, formatFinding } from '../../BaobabwellFindings';

describe('FindingList', () => {
  it('lists findings in the order of their location', function () {
    const findings = new FindingList();
    findings.add({
      place: { file: 'a.yaml', line: 9, column: 3, path: 'pools[1]' },
      problem: 'unknown key "siez"',
      allowed: 'size, budget',
    });
    findings.add({
      place: { file: 'a.yaml', line: 2, column: 1, path: 'entries' },
      problem: 'missing',
      allowed: 'a list',
    });
    expect(findings.list().map(formatFinding)).toMatchSnapshot(this);
  });
});
