import type { Profiler } from "node:inspector";
import { Session } from "node:inspector/promises";

const MICROSECONDS_PER_MILLISECOND = 1000;
const PACKAGE_PATTERN = /\/packages\/([^/]+)\/dist\//;

/** Processor time that some code took, in milliseconds. */
interface ProcessorTime {
    /** By package of the workspace; calls to code outside of the workspace count for the calling package. */
    readonly byPackage: ReadonlyMap<string, number>;
    /** In the selected function and all functions that it calls. */
    readonly selectedMs: number;
    /** In the garbage collector. */
    readonly garbageCollectionMs: number;
}

/**
 * Runs code under the sampling profiler of Node.js and sums up its processor time.
 *
 * @param isSelected Returns whether a function's time is summed up separately, given its name and its file's URL.
 * @param run The code to measure.
 */
export async function measureProcessorTime(
    isSelected: (functionName: string, url: string) => boolean,
    run: () => Promise<void>,
): Promise<ProcessorTime> {
    const session = new Session();
    session.connect();
    await session.post("Profiler.enable");
    await session.post("Profiler.start");
    await run();
    const { profile } = await session.post("Profiler.stop");
    session.disconnect();
    return computeProcessorTime(profile, isSelected);
}

/** What the time of a profiler sample is attributed to. */
interface Attribution {
    /** Package of the workspace; undefined outside of the workspace's code. */
    readonly name: string | undefined;
    readonly isSelected: boolean;
}

function computeProcessorTime(
    profile: Profiler.Profile,
    isSelected: (functionName: string, url: string) => boolean,
): ProcessorTime {
    const nodes = new Map(profile.nodes.map(node => [node.id, node]));
    const attributions = new Map<number, Attribution>();
    const collectorNodes = new Set<number>();
    const visit = (node: Profiler.ProfileNode, parent: Attribution) => {
        const { functionName, url } = node.callFrame;
        const attribution = {
            name: PACKAGE_PATTERN.exec(url)?.[1] ?? parent.name,
            isSelected: parent.isSelected || isSelected(functionName, url),
        };
        attributions.set(node.id, attribution);
        if (functionName === "(garbage collector)") {
            collectorNodes.add(node.id);
        }
        node.children?.forEach(id => {
            const child = nodes.get(id);
            if (child !== undefined) {
                visit(child, attribution);
            }
        });
    };
    visit(profile.nodes[0], { name: undefined, isSelected: false });

    const byPackage = new Map<string, number>();
    let selectedMs = 0;
    let garbageCollectionMs = 0;
    profile.samples?.forEach((id, index) => {
        const tookMs = (profile.timeDeltas?.[index] ?? 0) / MICROSECONDS_PER_MILLISECOND;
        const attribution = attributions.get(id);
        if (collectorNodes.has(id)) {
            garbageCollectionMs += tookMs;
        }
        else if (attribution?.name !== undefined) {
            byPackage.set(attribution.name, (byPackage.get(attribution.name) ?? 0) + tookMs);
            selectedMs += attribution.isSelected ? tookMs : 0;
        }
    });
    return { byPackage, selectedMs, garbageCollectionMs };
}
