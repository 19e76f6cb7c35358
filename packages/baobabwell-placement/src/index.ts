export type { AdmissionDecision, AdmissionSnapshot } from './BaobabwellPlacementAdmission';
export type { CopyCandidate, CopyPool, CopySnapshot } from './BaobabwellPlacementCopies';
export type {
  Allowance,
  EjectedHostOffer,
  AllowedHosts,
  Placement,
  PlacementHost,
  PlacementSnapshot,
} from './BaobabwellPlacementModel';
export type { RelocationHost, RelocationSnapshot } from './BaobabwellPlacementRelocation';
export type { StepUrgency } from './BaobabwellPlacementObjective';
export type { AcceptedWork, WorkAhead } from './BaobabwellPlacementWorkQueue';

export { decidePlacements } from './BaobabwellPlacement';
export { decideAdmission, RefusalCause } from './BaobabwellPlacementAdmission';
export { decideCopies } from './BaobabwellPlacementCopies';
export {
  getCpuWork,
  getCriticalPathMs,
  getObjectiveMs,
  getUrgency,
  getWidestStepCpu,
  listRemainingPathsMs,
} from './BaobabwellPlacementObjective';
export { decideRelocations } from './BaobabwellPlacementRelocation';
export { compareUrgency, getUrgencyClass } from './BaobabwellPlacementOrder';
export { WorkQueue } from './BaobabwellPlacementWorkQueue';
