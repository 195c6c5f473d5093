import { ErrorKind, StageError } from "@sardinestage/errors";
import type { DomainView } from "./domainView.js";
import type { OperatorContext } from "./operatorContext.js";

/**
 * Finds a failure domain by its name or by the id of a task, `FAILURE-DOMAIN/NAME`.
 *
 * @throws StageError `InvalidArgument` if the failure domain does not exist.
 */
export function findDomain(context: OperatorContext, nameOrTaskId: string): DomainView {
    const name = nameOrTaskId.split("/")[0];
    const domain = context.domains.get(name);
    if (domain === undefined) {
        const known = [...context.domains.keys()].join(", ");
        throw new StageError(
            ErrorKind.InvalidArgument,
            `There is no failure domain '${name}'.`,
            `Use one of ${known}; a task's id is FAILURE-DOMAIN/NAME.`,
        );
    }
    return domain;
}
