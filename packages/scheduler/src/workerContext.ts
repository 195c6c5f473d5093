import type { WorkerPort } from "@sardinestage/call-platform";
import type { Metrics } from "@sardinestage/count-metrics";
import type { TaskEntry } from "@sardinestage/fold-tasks";
import type { TaskStream } from "@sardinestage/follow-tasks";
import type { GrantLedger } from "@sardinestage/grant-connections";
import type { EventLogger } from "@sardinestage/log-events";
import type { EvictionBudget } from "@sardinestage/plan-reactions";
import type { TaskSpec, VmRecord } from "@sardinestage/types";
import type { Behaviour } from "./behaviour.js";
import type { SchedulerMembers } from "./schedulerMembers.js";
import type { SchedulerSettings } from "./schedulerSettings.js";

/** What every worker's control uses together. */
export interface WorkerContext {
    readonly settings: SchedulerSettings;
    /** Names this process's life. */
    readonly holder: string;
    readonly stream: TaskStream;
    readonly members: SchedulerMembers;
    readonly behaviour: Behaviour;
    readonly grants: GrantLedger;
    readonly evictions: EvictionBudget;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
    readonly now: () => number;
    readonly createPort: (vm: VmRecord) => WorkerPort;
    /** Whether a worker takes no new work: its VM leaves or an operator drains it. */
    readonly isLeaving: (worker: string) => boolean;
    /** Whether a task bound to a full worker could run on another now. */
    readonly hasRoomElsewhere: (entry: TaskEntry) => boolean;
    /** Requests that one replica of a service is expected to work on at once. */
    readonly getConcurrency: (service: string) => number;
    /** Whether guaranteed shares allow that one task gives way to another. */
    readonly mayGiveWay: (victim: TaskSpec, urgent: TaskSpec) => boolean;
}
