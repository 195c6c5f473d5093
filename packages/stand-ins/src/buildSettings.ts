import type { VmRecord } from "@sardinestage/types";
import type { EntryVm } from "./entryVm.js";
import type { InstallationPlan } from "./installationPlan.js";
import { standInKeys } from "./standInKeys.js";

type Sections = Record<string, object>;

/** Builds the settings of the three processes of an entry VM; the plan's settings override single fields. */
export function buildSettings(
    plan: InstallationPlan,
    vm: VmRecord,
    ports: EntryVm["ports"],
    platformPort: number,
): { entry: Sections; scheduler: Sections; admin: Sections } {
    const { common, entry, scheduler, admin } = plan.settings;
    const platformUrl = `http://127.0.0.1:${platformPort}`;
    const createCommon = (kind: string, metricsPort: number): Sections =>
        addSections({
            process: {
                name: `${vm.vm}-${kind}`,
                vm: vm.vm,
                domain: vm.domain,
                region: vm.region,
                address: vm.address,
                metricsPort,
            },
            platform: { logUrl: platformUrl, listUrl: `${platformUrl}/vms?view=${vm.vm}` },
            peers: { key: standInKeys.peer },
        }, common);
    return {
        entry: addSections({
            ...createCommon("entry", ports.entryMetrics),
            entry: { peerPort: vm.entryPeerPort, callerPort: ports.caller },
            callers: [
                { key: standInKeys.caller, team: "records" },
                { key: standInKeys.otherCaller, team: "plans" },
            ],
        }, entry),
        scheduler: addSections({
            ...createCommon("scheduler", ports.schedulerMetrics),
            scheduler: { peerPort: vm.schedulerPeerPort },
        }, scheduler),
        admin: addSections({
            ...createCommon("admin", ports.adminMetrics),
            admin: { port: ports.admin, domains: plan.domains.map(each => each.domain) },
            operators: [{ key: standInKeys.operator, name: "operator" }],
        }, admin),
    };
}

function addSections(base: Sections, overrides: Readonly<Record<string, object>> = {}): Sections {
    const merged = { ...base };
    for (const [name, section] of Object.entries(overrides)) {
        merged[name] = { ...merged[name], ...section };
    }
    return merged;
}
