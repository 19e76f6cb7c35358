export type { Plugin } from './BaobabwellKernel';
export type { CloseFailure, CloseResource, Undo } from './BaobabwellKernelLifecycle';
export type {
  Command,
  CommandHandler,
  EventListener,
  KernelEvent,
  ServiceToken,
} from './BaobabwellKernelMessages';

export { Kernel, mergeUndo } from './BaobabwellKernel';
export { CloseTimeoutError, LifecycleManager } from './BaobabwellKernelLifecycle';
export {
  CommandPriority,
  createCommand,
  createEvent,
  createServiceToken,
} from './BaobabwellKernelMessages';
