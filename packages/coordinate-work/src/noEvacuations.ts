import type { EvacuationView } from "@sardinestage/track-evacuations";

/** No failure domain is evacuated. */
export const noEvacuations: EvacuationView = {
    isKnown: true,
    isEvacuated: () => false,
    list: () => [],
};
