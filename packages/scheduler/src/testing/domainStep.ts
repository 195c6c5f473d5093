import type { FakeLink } from "./fakeLink.js";

/** One step of a history of a fake domain. An `index` chooses a scheduler or a worker. */
export type DomainStep =
    | { readonly kind: "wait"; readonly ticks: number; readonly index: number }
    | { readonly kind: "link"; readonly index: number; readonly worker: number; readonly link: FakeLink }
    | {
        readonly kind:
            | "submit"
            | "pause"
            | "resume"
            | "logOut"
            | "logBack"
            | "restart"
            | "workerDies"
            | "unlist"
            | "list"
            | "peersCut"
            | "peersBack"
            | "drain"
            | "restore"
            | "deliver"
            | "fill"
            | "roomElsewhere"
            | "noRoomElsewhere"
            | "startsLate"
            | "startsInTime";
        readonly index: number;
    };
