import type { CoordinatorClient, JobStateCache } from "@sardinestage/accept-jobs";
import { JobService, JobStateReader, RecordAppender } from "@sardinestage/accept-jobs";
import { Metrics } from "@sardinestage/count-metrics";
import type { Clock, StorePort } from "@sardinestage/describe-ports";
import { emulatedStoreLimits } from "@sardinestage/emulate-platform";
import type { EventLogger } from "@sardinestage/log-events";

/** Dependencies of a VM's job service. */
interface JobServiceParts {
    readonly store: StorePort;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly coordinatorClient: CoordinatorClient;
    readonly jobStateCache: JobStateCache;
}

/** Creates the job service of an emulated VM. */
export function createJobService(given: JobServiceParts): JobService {
    const parts = { ...given, metrics: new Metrics() };
    return new JobService({
        ...parts,
        recordAppender: new RecordAppender({ ...parts, limits: emulatedStoreLimits }),
        stateReader: new JobStateReader(parts),
    });
}
