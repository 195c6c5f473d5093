import type { Clock, StorePort, Topic } from "@sardinestage/describe-ports";
import { AppendOutcome, ReadOutcome, waitFor } from "@sardinestage/describe-ports";

/** What a VM's link to the store does to its calls. */
interface VmStoreParts {
    readonly clock: Clock;
    readonly random: () => number;
    /** Share of the appends that get no answer, and how late the store carries these out, in milliseconds. */
    readonly lost: { readonly share: number; readonly lateMs: number };
    readonly network: { readonly timeoutMs: number };
    /** Waits until a call over a cut link has failed. Returns whether its connection was refused. */
    readonly waitForFailure: (timeoutMs: number) => Promise<boolean>;
    /** Whether the VM is cut off from the store now. */
    readonly isCut: () => boolean;
    /** Whether the store doesn't answer the VM's reads of a topic. */
    readonly isSilentAbout: (topic: Topic) => boolean;
}

/** Creates the store as one VM reaches it. */
export function createVmStore(store: StorePort, parts: VmStoreParts): StorePort {
    const { clock, network, isCut, isSilentAbout, waitForFailure } = parts;
    return {
        append: async call => {
            if (isCut()) {
                const isRefused = await waitForFailure(call.timeoutMs);
                return { outcome: isRefused ? AppendOutcome.Refused : AppendOutcome.Unknown, offset: 0, end: 0 };
            }
            if (parts.random() < parts.lost.share) {
                clock.schedule(parts.lost.lateMs, () => void store.append(call));
                await waitFor(clock, call.timeoutMs);
                return { outcome: AppendOutcome.Unknown, offset: 0, end: 0 };
            }
            return store.append(call);
        },
        read: async (topic, from, waitMs) => {
            if (isCut()) {
                await waitForFailure(network.timeoutMs);
                return { outcome: ReadOutcome.Failed, records: [], next: from };
            }
            const isUnanswered = isSilentAbout(topic);
            const answer = isUnanswered ? undefined : await store.read(topic, from, waitMs);
            if (answer === undefined || isCut()) {
                await waitFor(clock, network.timeoutMs);
                return { outcome: ReadOutcome.Failed, records: [], next: from };
            }
            return answer;
        },
        readNewest: async (topic, afterKey) => {
            if (isCut()) {
                await waitForFailure(network.timeoutMs);
                return { succeeded: false, records: [], hasMore: false, end: 0 };
            }
            if (isSilentAbout(topic)) {
                await waitFor(clock, network.timeoutMs);
                return { succeeded: false, records: [], hasMore: false, end: 0 };
            }
            return store.readNewest(topic, afterKey);
        },
    };
}
