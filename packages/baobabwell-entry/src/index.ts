export { buildEntry } from './BaobabwellEntry';
