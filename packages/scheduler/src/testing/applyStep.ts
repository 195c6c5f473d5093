import type { DomainStep } from "./domainStep.js";
import type { FakeDomain } from "./fakeDomain.js";

/** Applies one step of a history to a fake domain. */
export async function applyStep(domain: FakeDomain, each: DomainStep): Promise<void> {
    const scheduler = domain.schedulers[each.index % domain.schedulers.length];
    const worker = each.index % domain.workers.length;
    switch (each.kind) {
        case "wait":
            for (let i = 0; i < each.ticks; i++) {
                await domain.runTick(each.index + i);
            }
            break;
        case "submit":
            domain.submitTask();
            break;
        case "link":
            domain.links.set(
                `${scheduler.name}>${domain.workers[each.worker % domain.workers.length].name}`,
                each.link,
            );
            break;
        case "startsLate":
        case "startsInTime":
            domain.schedulers.forEach(({ name }) =>
                domain.workers.forEach(({ name: other }) =>
                    domain.links.set(`${name}>${other}`, each.kind === "startsLate" ? "startsLate" : "up")
                )
            );
            break;
        case "pause":
        case "resume":
            if (each.kind === "pause") {
                domain.stopTemporarily(each.index % domain.schedulers.length);
            }
            else {
                scheduler.isPaused = false;
            }
            break;
        case "logOut":
        case "logBack":
            scheduler.isLogUnreachable = each.kind === "logOut";
            break;
        case "restart":
            domain.startAgain(each.index % domain.schedulers.length);
            break;
        case "workerDies":
            // The first worker never dies, since otherwise no task could finish.
            if (worker > 0) {
                domain.stopWorker(worker);
            }
            break;
        case "unlist":
            domain.unlisted.add(`${scheduler.name}>${domain.workers[each.index >> 1 & 1].name}`);
            break;
        case "list":
            domain.unlisted.clear();
            break;
        case "peersCut":
        case "peersBack":
            domain.arePeersCut = each.kind === "peersCut";
            break;
        case "drain":
        case "restore":
            domain.setDrained(worker, each.kind === "drain");
            break;
        case "deliver":
            domain.handleLate();
            break;
        case "fill":
            for (let i = 0; i < 5; i++) {
                domain.submitTask();
            }
            break;
        case "roomElsewhere":
        case "noRoomElsewhere":
            domain.hasRoomElsewhere = each.kind === "roomElsewhere";
            break;
    }
}
