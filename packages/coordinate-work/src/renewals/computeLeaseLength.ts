import { limits } from "../limits.js";

/**
 * Computes how long a lease that is given now lasts, in milliseconds. It is bound by the age of the coordinator's
 * authority, so that the next coordinator, whose term begins after the last confirmation, needn't add the whole time for
 * which an authority lasts to the length of a lease.
 *
 * @param leaseMs The full length of a lease, in milliseconds.
 * @param authorityAgeMs Time since the confirmation that the authority rests on was asked for, in milliseconds.
 */
export function computeLeaseLength(leaseMs: number, authorityAgeMs: number): number {
    return Math.min(leaseMs, leaseMs + limits.leaseConfirmationMs - authorityAgeMs);
}
