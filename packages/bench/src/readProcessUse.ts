import { readFileSync } from "node:fs";

/** Clock ticks a second in which Linux counts processor time. */
const TICKS_PER_SECOND = 100;
const UTIME_FIELD = 13;
const KILOBYTES_PER_MEGABYTE = 1024;

interface ProcessUse {
    /** Processor time since the process began, in seconds. */
    readonly cpuSeconds: number;
    /** Resident memory, in megabytes. */
    readonly memoryMb: number;
}

/** Reads what a process has used, from the system's own accounts. */
export function readProcessUse(pid: number): ProcessUse {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The name in parentheses can hold spaces; what follows it is counted from field 3.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[UTIME_FIELD - 2]) + Number(fields[UTIME_FIELD - 1]);
    const resident = /^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return { cpuSeconds: ticks / TICKS_PER_SECOND, memoryMb: Number(resident) / KILOBYTES_PER_MEGABYTE };
}
