import type { ProcessResources } from '@baobabwell/connection-limits';
import type { FleetBounds, FleetCodec } from '@baobabwell/controller';
import type { FleetConfiguration } from '@baobabwell/fleet';
import type { ClientProtocol } from '@baobabwell/ingress';
import type {
  CloudControl,
  HostOrders,
  JsonValue,
  PlacementAdvisor,
  WatchableTableService,
} from '@baobabwell/platform';

/** An address to listen on. */
export type ListenAddress = { readonly host: string; readonly port: number };

/** Settings of one process. */
export type DaemonSettings = {
  readonly name: string;
  readonly zone: string;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress;
  /** CPU capacity of this machine relative to that of the largest known machine, 0 to 1. */
  readonly fitness: number;
  /** Memory and descriptors that the machine gives to this process. */
  readonly resources: ProcessResources;
  /** Time from the stop signal until the process is killed, in ms. */
  readonly graceMs: number;
  /** Longest time after the acknowledgement of a configuration until it is in force everywhere, in ms. */
  readonly configurationMs: number;
  /** Reads of the store that all processes together may make, per second. */
  readonly storeReadsPerS: number;
  /** Longest value of a row of the store, in bytes. */
  readonly storeRowBytes: number;
  readonly bounds: FleetBounds;
};

/** Clients, protocol and codecs through which the process uses the platform. */
export type DaemonAdapters = {
  readonly store: WatchableTableService;
  readonly orders: HostOrders;
  readonly cloud: CloudControl | null;
  readonly advisor: PlacementAdvisor | null;
  readonly protocol: ClientProtocol;
  readonly codec: FleetCodec;
  readonly configurationKey: string;
  readonly decodeConfiguration: (value: JsonValue) => FleetConfiguration | null;
  /** Closes all connections. */
  readonly close: () => Promise<void>;
};
