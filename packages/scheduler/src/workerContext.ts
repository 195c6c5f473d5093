import type { WorkerPort } from "@sardinestage/call-platform";
import type { Metrics } from "@sardinestage/count-metrics";
import type { TaskEntry } from "@sardinestage/fold-tasks";
import type { TaskStream } from "@sardinestage/follow-tasks";
import type { GrantLedger } from "@sardinestage/grant-connections";
import type { EventLogger } from "@sardinestage/log-events";
import type { EvictionBudget } from "@sardinestage/plan-reactions";
import type { TaskSpec, VmRecord } from "@sardinestage/types";
import type { BehaviourModel } from "./behaviourModel.js";
import type { SchedulerMembers } from "./schedulerMembers.js";
import type { SchedulerSettings } from "./schedulerSettings.js";

/** Dependencies that the controls of all workers share. */
export interface WorkerContext {
    readonly settings: SchedulerSettings;
    /** Identifies this run of the process, so that a restarted process is another lease holder. */
    readonly holder: string;
    readonly stream: TaskStream;
    readonly members: SchedulerMembers;
    readonly behaviour: BehaviourModel;
    readonly grants: GrantLedger;
    readonly evictions: EvictionBudget;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
    readonly now: () => number;
    readonly createPort: (vm: VmRecord) => WorkerPort;
    /** Whether a worker takes no new work, because its VM is being removed or an operator drains it. */
    readonly isLeaving: (worker: string) => boolean;
    /** Whether another worker has enough free capacity now for a task that is bound to a full worker. */
    readonly hasCapacityElsewhere: (entry: TaskEntry) => boolean;
    /** How many requests one replica of a service is expected to process at once. */
    readonly getConcurrency: (service: string) => number;
    /** Whether the guaranteed shares allow the urgent task to preempt the victim. */
    readonly mayPreempt: (victim: TaskSpec, urgent: TaskSpec) => boolean;
}
