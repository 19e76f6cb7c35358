// trial: jobs that end as failed though nothing fails them
import { EmulatedJobFleet } from '@baobabwell/job-emulator';
import { JobState } from '@baobabwell/jobs';
let s = Number(process.argv[2]); const n = Number(process.argv[3]);
const rnd = () => { s = (s * 1103515245 + 12345) % 2147483648; return s / 2147483648; };
let bad = 0, crashed=0;
for (let run = 0; run < n; run += 1) {
  const seed = Math.floor(rnd()*1000);
  const fleet = new EmulatedJobFleet(seed, 4);
  ['a','b','c'].forEach((d) => fleet.startDaemon(d));
  await fleet.time.advance(1500);
  const jobs: string[] = []; let deadly: string | null = null;
  const script: string[] = [];
  for (let i = 0; i < 25; i += 1) {
    const k = Math.floor(rnd()*9); script.push(String(k));
    if (k < 3) jobs.push(fleet.submit([{ taskCount: 1+Math.floor(rnd()*7), estimateMs: 100+Math.floor(rnd()*1000) }]));
    else if (k === 3 && deadly === null) { deadly = fleet.submit([{taskCount: 3}]); fleet.crashingTasks.add(`${deadly}.0.0.1`); }
    else if (k === 4) { const d='abc'[Math.floor(rnd()*3)] as string; fleet.killDaemon(d); fleet.startDaemon(d); }
    else if (k === 5) fleet.faults.partitionedHosts.add(`host-${Math.floor(rnd()*4)}`);
    else if (k === 6) fleet.faults.partitionedHosts.clear();
    else if (k === 7) { fleet.startHost(`host-${Math.floor(rnd()*4)}`); }
    await fleet.time.advance(Math.floor(rnd()*2500));
  }
  fleet.faults.partitionedHosts.clear();
  await fleet.time.advance(60000);
  const st = await Promise.all(jobs.map((j) => fleet.findState(j)));
  const dst = deadly === null ? null : await fleet.findState(deadly);
  const notDone = st.filter((x) => x !== JobState.Completed).length;
  if (deadly !== null) crashed += 1;
  if (notDone > 0 || (deadly !== null && dst !== JobState.Failed) || fleet.oracle.violations.length > 0) {
    bad += 1;
    fleet.logLines.filter((l) => /host-crashed|run-crashed.*0002.0.0.1 |start-ordered.*0002.0.0.1 |run-lost.*0002.0.0.1 |term-loaded|ownership-acq|run-vanished.*0002.0.0.1 /.test(l)).forEach((l) => console.log(l.replace(/at=\S+ level=\w+ /, '').slice(0, 190)));
    console.log('run', run, 'seed', seed, script.join(','), 'states', st.filter((x) => x !== JobState.Completed), 'deadly', dst, JSON.stringify(fleet.oracle.violations.slice(0,2)));
  }
  fleet.close();
}
console.log('runs', n, 'with a crashing task', crashed, 'bad', bad);
process.exit(0);
