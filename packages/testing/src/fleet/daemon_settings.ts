/** Settings of the daemons that tests launch. @module */

/** Address that a daemon listens on; port 0 selects a free port. */
export type ListenSettings = { host: string; port: number };

/** URLs of the platform services. */
export type PlatformSettings = { keyValueStore: string; instanceList: string };

type CommonSettings = {
  instance: string;
  dataCentre: string;
  region: string;
  status: ListenSettings;
  protocol: ListenSettings;
  platform: PlatformSettings;
  /** Milliseconds that a daemon keeps listening after the signal to stop. */
  shutdownLag: number;
};

/** Settings of a daemon in the entry role. */
export type EntrySettings = CommonSettings & {
  role: "entry";
  http: ListenSettings;
  bounds?: EntryMachine;
};

/** What a machine provides to an entry. */
export type EntryMachine = { memoryMegabytes: number; connections: number };

/** The backend server of a sidecar. */
export type BackendServerSettings = {
  url: string;
  service: string;
  version: string;
  kind: "model" | "plain";
  healthPath: string;
};

/** Settings of a daemon in the sidecar role. */
export type SidecarSettings = CommonSettings & {
  role: "sidecar";
  backendServer: BackendServerSettings;
};

/** Settings of a daemon in either role. */
export type DaemonSettings = EntrySettings | SidecarSettings;

/**
 * Milliseconds; short, because tests have no load balancer in front of the
 * entries.
 */
const SHUTDOWN_LAG = 100;
const LOOPBACK: ListenSettings = { host: "127.0.0.1", port: 0 };

function commonSettings(
  instance: string,
  platform: PlatformSettings,
): CommonSettings {
  return {
    instance,
    dataCentre: "ljubljana-1",
    region: "slovenia",
    status: LOOPBACK,
    protocol: LOOPBACK,
    platform,
    shutdownLag: SHUTDOWN_LAG,
  };
}

/** Creates settings of an entry on free ports of 127.0.0.1. */
export function entrySettings(
  instance: string,
  platform: PlatformSettings,
  machine?: EntryMachine,
): EntrySettings {
  return {
    role: "entry",
    ...commonSettings(instance, platform),
    http: LOOPBACK,
    ...(machine && { bounds: machine }),
  };
}

/** Creates settings of a sidecar on free ports of 127.0.0.1. */
export function sidecarSettings(
  instance: string,
  platform: PlatformSettings,
  backendServer: BackendServerSettings,
): SidecarSettings {
  return {
    role: "sidecar",
    ...commonSettings(instance, platform),
    backendServer,
  };
}
