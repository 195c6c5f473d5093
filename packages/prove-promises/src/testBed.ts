import { createConfig, createDefaultPlan, startConfigured } from "@sardinestage/stand-ins";
import type { Installation, InstallationPlan } from "@sardinestage/stand-ins";
import { v7 } from "uuid";

/** The failure domain that most tests use. */
const DOMAIN = "gent-haven";
const SERVICE = "attendance";
const LIMIT_MS = 30_000;

/** Shared by the tests that run real processes. */
export const testBed = {
    domain: DOMAIN,
    service: SERVICE,
    /** Bound on waits; a wait that ends at it fails the test. */
    limitMs: LIMIT_MS,
    /** Starts an installation of one failure domain with two entry VMs and a service. */
    start: (changes: Partial<InstallationPlan> = {}, service: { replicas?: number; serviceMs?: number } = {}) => {
        const { replicas = 2, serviceMs = 20 } = service;
        const services = { [SERVICE]: { [DOMAIN]: replicas } };
        const config = createConfig({ services, serviceMs, concurrency: 16, batchShare: 0.4 });
        return startConfigured(createDefaultPlan(changes), config);
    },
    /** The caller port of an entry VM, by its index. */
    getCallerPort: (installation: Installation, index: number) =>
        [...installation.entryVms.values()][index].ports.caller,
    /** A non-idempotent request; changes go over it. */
    createOnceRequest: (port: number, changes: { requestId?: string; deadlineMs?: number } = {}) => ({
        port,
        service: SERVICE,
        requestId: v7(),
        isIdempotent: false,
        homeDomain: DOMAIN,
        ...changes,
    }),
};
