import type { CallerLimits } from "./callerLimits.js";

/** Descriptors that a process needs for files. */
const FILE_DESCRIPTORS = 200;
/** Part of the other descriptors that callers may use. Workers, peers and the store have the rest. */
const CALLERS_DESCRIPTOR_SHARE = 1 / 3;
/** An idle connection costs about 15 KB, and 16 KB more while its headers arrive: an eighth of the memory at most. */
const CONNECTIONS_PER_MB = 4;
const MAX_CONNECTIONS = 1500;
/** A tenth of the memory for bytes, of which a heap of 96 MB has to take a part while requests are decoded. */
const HELD_SHARE = 0.1;
const MAX_HELD_BYTES = 25_165_824;
/** An open request costs about 10 KB of heap besides its body. */
const REQUESTS_PER_MB = 4;
const MAX_OPEN_REQUESTS = 2000;
const MAX_PIPELINED_REQUESTS = 4;
/** As long as the usual idle timeout of a connection. */
const BODY_PROGRESS_MS = 15_000;
const BYTES_PER_MB = 1_048_576;
/** Smallest limits, however small the memory: one request with the largest body, if it consists of the smallest steps. */
const MIN_CONNECTIONS = 16;
const MIN_HELD_BYTES = 10_485_760;
const MIN_OPEN_REQUESTS = 16;

/**
 * Computes the limits of callers from what the process has.
 *
 * @param memoryMb Memory of the machine, in megabytes.
 * @param maxDescriptors Limit of the process's descriptors.
 * @param explicit Limits that replace the computed ones.
 */
export function computeCallerLimits(
    memoryMb: number,
    maxDescriptors: number,
    explicit: Partial<CallerLimits>,
): CallerLimits {
    const forCallers = Math.floor((maxDescriptors - FILE_DESCRIPTORS) * CALLERS_DESCRIPTOR_SHARE);
    const connections = Math.min(forCallers, memoryMb * CONNECTIONS_PER_MB, MAX_CONNECTIONS);
    const heldBytes = Math.min(Math.floor(memoryMb * BYTES_PER_MB * HELD_SHARE), MAX_HELD_BYTES);
    const openRequests = Math.min(memoryMb * REQUESTS_PER_MB, MAX_OPEN_REQUESTS);
    return {
        maxConnections: explicit.maxConnections ?? Math.max(MIN_CONNECTIONS, connections),
        maxHeldBytes: explicit.maxHeldBytes ?? Math.max(MIN_HELD_BYTES, heldBytes),
        maxOpenRequests: explicit.maxOpenRequests ?? Math.max(MIN_OPEN_REQUESTS, openRequests),
        maxPipelinedRequests: explicit.maxPipelinedRequests ?? MAX_PIPELINED_REQUESTS,
        bodyProgressMs: explicit.bodyProgressMs ?? BODY_PROGRESS_MS,
    };
}
