import { readFileSync } from "node:fs";

/** Clock ticks per second, the unit of processor time in `/proc`. */
const TICKS_PER_SECOND = 100;
/** Index of `utime` in `/proc/PID/stat`; `stime` follows it. */
const UTIME_FIELD = 13;
const KILOBYTES_PER_MEGABYTE = 1024;

interface ProcessUsage {
    /** User and system processor time since the process started, in seconds. */
    readonly cpuSeconds: number;
    /** Resident memory, in megabytes. */
    readonly memoryMb: number;
}

/** Reads a process's processor time and memory use from Linux's `/proc` file system. */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The process name in parentheses may contain spaces, so the fields are read after it, from field 3 on.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[UTIME_FIELD - 2]) + Number(fields[UTIME_FIELD - 1]);
    const resident = /^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return { cpuSeconds: ticks / TICKS_PER_SECOND, memoryMb: Number(resident) / KILOBYTES_PER_MEGABYTE };
}
