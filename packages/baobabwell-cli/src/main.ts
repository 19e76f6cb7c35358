import { runCli } from './index';

void runCli(process.argv);
