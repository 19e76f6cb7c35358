export type {
  AllowedHosts,
  Allowance,
  Placement,
  PlacementHost,
  PlacementSnapshot,
} from './BaobabwellPlacement';
export type {
  AcceptedWork,
  AdmissionDecision,
  AdmissionSnapshot,
} from './BaobabwellPlacementAdmission';
export type { StepUrgency } from './BaobabwellPlacementObjective';

export { decidePlacements } from './BaobabwellPlacement';
export { decideAdmission, RefusalCause } from './BaobabwellPlacementAdmission';
export {
  getCriticalPathMs,
  getObjectiveMs,
  getUrgency,
  getWidestStepCpu,
  getCpuWork,
  listRemainingPathsMs,
} from './BaobabwellPlacementObjective';
export { compareUrgency } from './BaobabwellPlacementOrder';
