import { describe, expect, it } from "@jest/globals";
import { EvacuationKeeper } from "./evacuationKeeper.js";

function createKeeper() {
    const lines: string[] = [];
    const write = (event: string, fields: object | undefined) => lines.push(`${event} ${JSON.stringify(fields)}`);
    const keeper = new EvacuationKeeper({ info: write, warn: write, error: write });
    const take = (domain: string, isEvacuated: boolean, offset: number, problem?: string) =>
        keeper.takeRecord({ evacuation: { domain, isEvacuated }, problem }, offset);
    const listDomains = () => keeper.view.list().map(({ domain }) => domain);
    return { keeper, lines, take, listDomains };
}

describe("EvacuationKeeper", () => {
    describe("with records that are unusual", () => {
        it.each<[string, string, boolean, string | undefined, readonly string[]]>([
            ["without a name", "", true, "no-domain", ["a"]],
            ["whose value can't be read", "b", true, "value-unreadable", ["a", "b"]],
            ["that repeat one", "a", true, undefined, ["a"]],
            ["that end no evacuation", "b", false, undefined, ["a"]],
        ])("logs one line for those %s", (_case, domain, isEvacuated, problem, domains) => {
            const { keeper, lines, take, listDomains } = createKeeper();
            keeper.noteRead(0, true);
            take("a", true, 0);
            keeper.noteRead(1, false);
            lines.length = 0;
            take(domain, isEvacuated, 1, problem);
            expect(listDomains()).toEqual(domains);
            expect(lines).toHaveLength(1);
            expect(lines[0]).toContain(problem ?? "evacuation-record-odd");
        });
    });

    describe("when the topic is read anew", () => {
        // Guards against an evacuation that was learned from another VM and whose end the store has dropped.
        it("ends what isn't listed, and keeps what is", () => {
            const { keeper, take, listDomains } = createKeeper();
            keeper.applyState(
                { readUpTo: 6, evacuated: [{ domain: "a", offset: 3 }, { domain: "b", offset: 4 }] },
                "x",
            );
            take("b", true, 4);
            keeper.noteRead(9, true);
            expect(listDomains()).toEqual(["b"]);
        });

        it("isn't misled by an earlier read that failed halfway", () => {
            const { keeper, take, listDomains } = createKeeper();
            take("a", true, 3);
            take("a", false, 8);
            keeper.noteRead(9, true);
            expect(listDomains()).toEqual([]);
            expect(keeper.view.isKnown).toBe(true);
        });
    });
});
