import { RunState, Urgency, VmRole, VmState, WorkKind } from "@sardinestage/types";
import { z } from "zod";

const resources = z.object({
    cpuMillis: z.number().nonnegative(),
    memoryMb: z.number().nonnegative(),
    accelerators: z.number().int().nonnegative(),
    slots: z.number().int().nonnegative(),
});

const taskSpec = z.object({
    taskId: z.string().min(1).max(200),
    team: z.string().min(1).max(100),
    kind: z.enum(WorkKind),
    urgency: z.enum(Urgency),
    taskClass: z.string().min(1).max(100),
    size: resources,
    expectedRunMs: z.number().nonnegative(),
    service: z.string().max(100).optional(),
    payload: z.string().max(65_536),
});

const workerReport = z.object({
    tasks: z.array(
        z.object({
            taskId: z.string(),
            generation: z.number().int(),
            attempt: z.number().int(),
            state: z.enum(RunState),
            spec: taskSpec,
            progress: z.number(),
            checkpoint: z.string().optional(),
            throttle: z.number(),
        }),
    ),
    usage: z.array(
        z.object({
            taskId: z.string(),
            cpuMillis: z.number(),
            memoryMb: z.number(),
            latencyMs: z.number().optional(),
            requestsPerSecond: z.number().optional(),
        }),
    ),
});

const vmList = z.object({
    vms: z.array(
        z.object({
            vm: z.string(),
            role: z.enum(VmRole),
            domain: z.string(),
            region: z.string(),
            rack: z.string(),
            state: z.enum(VmState),
            address: z.string(),
            controlPort: z.number().int().optional(),
            servePort: z.number().int().optional(),
            entryPeerPort: z.number().int().optional(),
            schedulerPeerPort: z.number().int().optional(),
            capacity: resources.optional(),
            connections: z.number().int().optional(),
        }),
    ),
});

/** Schemas of the data that the interfaces of the platform and its workers exchange. */
export const platformSchemas = { resources, taskSpec, workerReport, vmList };
