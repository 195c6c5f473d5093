import type { JobOrigin } from "@sardinestage/describe-work";
import type { ReservedRoom } from "./reservedRoom.js";

/** A job that takes room of a coordinator. */
export interface CountedJob {
    /** Estimated memory, in bytes. */
    readonly bytes: number;
    readonly origin: JobOrigin;
    /** The reserved room that the job is in; undefined for the room of all. */
    readonly room?: ReservedRoom;
}
