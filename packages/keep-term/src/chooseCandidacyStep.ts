import type { CandidacyRules } from "./candidacyRules.js";
import { CandidacyStep } from "./candidacyStep.js";
import type { CoordinatorView } from "./coordinatorView.js";

/**
 * Decides whether a process follows the coordinator, reaches it through a peer, or campaigns for the next term. A wrong
 * decision costs a needless takeover but never safety: the store lets only one process win a term, and workers refuse
 * orders from the coordinator of an earlier term.
 */
export function chooseCandidacyStep(view: CoordinatorView, rules: CandidacyRules): CandidacyStep {
    const timeoutFactor = view.termAgeMs < rules.youngTermMs ? rules.youngTermPatience : 1;
    const isReachable = !view.isRefused && view.silentMs < rules.silenceMs;
    if (!view.hasStore) {
        return view.isHeardByPeer && !isReachable ? CandidacyStep.Relay : CandidacyStep.Follow;
    }
    if (!view.isKnown) {
        return CandidacyStep.Stand;
    }
    const isRenewing = !view.isRefused && view.renewalAgeMs < rules.freshRenewalMs * timeoutFactor;
    if (view.isLeaving || (view.storeSilentMs >= rules.storeSilenceMs && !isRenewing)) {
        return CandidacyStep.Stand;
    }
    if (isReachable) {
        return CandidacyStep.Follow;
    }
    if (view.isHeardByPeer) {
        return CandidacyStep.Relay;
    }
    const isFollowed = view.followers > 0 && view.followers >= view.members * rules.followedShare;
    if (isRenewing && (isFollowed || view.silentMs < rules.unreachableMs)) {
        // The coordinator is busy, or only unreachable from this process: a takeover would only add to its load.
        return CandidacyStep.Follow;
    }
    const isIsolated = view.peers > 0 && view.peersAnswered === 0 && !view.isRefused;
    if (isIsolated && view.renewalAgeMs < rules.renewalSilenceMs) {
        return CandidacyStep.Follow;
    }
    return CandidacyStep.Stand;
}
