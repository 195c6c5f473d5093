import type { CandidacyRules } from "./candidacyRules.js";
import { CandidacyStep } from "./candidacyStep.js";
import type { CoordinatorView } from "./coordinatorView.js";

/**
 * Decides whether a process should try to coordinate. A wrong decision costs a needless change of coordinator, never
 * safety: the store lets one win, and workers refuse the orders of the other.
 */
export function chooseCandidacyStep(view: CoordinatorView, rules: CandidacyRules): CandidacyStep {
    const patience = view.termAgeMs < rules.youngTermMs ? rules.youngTermPatience : 1;
    const isHeardHere = !view.isRefused && view.silentMs < rules.silenceMs;
    if (!view.hasStore) {
        return view.isHeardByPeer && !isHeardHere ? CandidacyStep.Relay : CandidacyStep.Follow;
    }
    if (!view.isKnown) {
        return CandidacyStep.Stand;
    }
    const isRenewing = !view.isRefused && view.renewalAgeMs < rules.freshRenewalMs * patience;
    if (view.isLeaving || (view.storeSilentMs >= rules.storeSilenceMs && !isRenewing)) {
        return CandidacyStep.Stand;
    }
    if (isHeardHere) {
        return CandidacyStep.Follow;
    }
    if (view.isHeardByPeer) {
        return CandidacyStep.Relay;
    }
    const isFollowed = view.followers > 0 && view.followers >= view.members * rules.followedShare;
    if (isRenewing && (isFollowed || view.silentMs < rules.unreachableMs)) {
        // Busy, or only unreached from here, rather than dead: another takeover would only add to the work.
        return CandidacyStep.Follow;
    }
    const isIsolated = view.peers > 0 && view.peersAnswered === 0 && !view.isRefused;
    if (isIsolated && view.renewalAgeMs < rules.renewalSilenceMs) {
        return CandidacyStep.Follow;
    }
    return CandidacyStep.Stand;
}
