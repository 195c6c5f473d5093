import type { Profiler } from "node:inspector";
import { Session } from "node:inspector/promises";

const MICROSECONDS_PER_MILLISECOND = 1000;
const PACKAGE_PATTERN = /\/packages\/([^/]+)\/dist\//;

/** Processor time of a stretch of code, in milliseconds. */
interface CodeUse {
    /** By package of the workspace, with what it calls outside of the workspace. */
    readonly byPackage: ReadonlyMap<string, number>;
    /** Within the function that was asked for, and all that it calls. */
    readonly insideMs: number;
    readonly collectorMs: number;
}

/**
 * Runs something under the sampling profiler.
 *
 * @param isInside Recognizes the function of which the whole time is told apart.
 * @param run What is measured.
 */
export async function measureCode(
    isInside: (functionName: string, url: string) => boolean,
    run: () => Promise<void>,
): Promise<CodeUse> {
    const session = new Session();
    session.connect();
    await session.post("Profiler.enable");
    await session.post("Profiler.start");
    await run();
    const { profile } = await session.post("Profiler.stop");
    session.disconnect();
    return computeUse(profile, isInside);
}

/** To whom a sample's time goes. */
interface Owner {
    readonly name: string | undefined;
    readonly isInside: boolean;
}

function computeUse(profile: Profiler.Profile, isInside: (functionName: string, url: string) => boolean): CodeUse {
    const nodes = new Map(profile.nodes.map(node => [node.id, node]));
    const owners = new Map<number, Owner>();
    const collectors = new Set<number>();
    const visit = (node: Profiler.ProfileNode, above: Owner) => {
        const { functionName, url } = node.callFrame;
        const owner = {
            name: PACKAGE_PATTERN.exec(url)?.[1] ?? above.name,
            isInside: above.isInside || isInside(functionName, url),
        };
        owners.set(node.id, owner);
        if (functionName === "(garbage collector)") {
            collectors.add(node.id);
        }
        node.children?.forEach(id => {
            const child = nodes.get(id);
            if (child !== undefined) {
                visit(child, owner);
            }
        });
    };
    visit(profile.nodes[0], { name: undefined, isInside: false });

    const byPackage = new Map<string, number>();
    let insideMs = 0;
    let collectorMs = 0;
    profile.samples?.forEach((id, index) => {
        const tookMs = (profile.timeDeltas?.[index] ?? 0) / MICROSECONDS_PER_MILLISECOND;
        const owner = owners.get(id);
        if (collectors.has(id)) {
            collectorMs += tookMs;
        }
        else if (owner?.name !== undefined) {
            byPackage.set(owner.name, (byPackage.get(owner.name) ?? 0) + tookMs);
            insideMs += owner.isInside ? tookMs : 0;
        }
    });
    return { byPackage, insideMs, collectorMs };
}
