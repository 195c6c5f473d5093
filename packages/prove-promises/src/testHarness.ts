import { createConfig, createDefaultPlan, startConfiguredInstallation } from "@sardinestage/stand-ins";
import type { Installation, InstallationPlan } from "@sardinestage/stand-ins";
import { v7 } from "uuid";

/** The failure domain in which most tests run. */
const DOMAIN = "gent-haven";
const SERVICE = "attendance";
const WAIT_TIMEOUT_MS = 30_000;

/** Shared setup of the tests that run real processes. */
export const testHarness = {
    domain: DOMAIN,
    service: SERVICE,
    /** Timeout of a wait, in milliseconds; the test fails when it elapses. */
    waitTimeoutMs: WAIT_TIMEOUT_MS,
    /** Starts an installation with one failure domain, two entry VMs and one service. */
    start: (changes: Partial<InstallationPlan> = {}, service: { replicas?: number; serviceMs?: number } = {}) => {
        const { replicas = 2, serviceMs = 20 } = service;
        const services = { [SERVICE]: { [DOMAIN]: replicas } };
        const config = createConfig({ services, serviceMs, concurrency: 16, batchShare: 0.4 });
        return startConfiguredInstallation(createDefaultPlan(changes), config);
    },
    /** Returns the caller port of an entry VM by the VM's index. */
    getCallerPort: (installation: Installation, index: number) =>
        [...installation.entryVms.values()][index].ports.caller,
    /** Creates a non-idempotent request; `changes` override its fields. */
    createNonIdempotentRequest: (port: number, changes: { requestId?: string; deadlineMs?: number } = {}) => ({
        port,
        service: SERVICE,
        requestId: v7(),
        isIdempotent: false,
        homeDomain: DOMAIN,
        ...changes,
    }),
};
