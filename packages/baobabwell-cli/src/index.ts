export { runCli } from './BaobabwellCli';
export { ExitCode } from './BaobabwellCliExit';
