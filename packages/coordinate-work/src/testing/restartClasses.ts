import { RestartHazard } from "./restartHazard.js";

const { LostAnswers, LateOrders, RenewedLife, NewLife, Takeovers } = RestartHazard;

/** The hazards of each class of plays in which workers restart under their ids. */
export const restartClasses: Readonly<Record<string, readonly RestartHazard[]>> = {
    "delays": [],
    "lost-answers": [LostAnswers],
    "late-orders": [LostAnswers, LateOrders],
    "renewed-life": [LostAnswers, LateOrders, RenewedLife],
    "takeovers": [LostAnswers, LateOrders, RenewedLife, Takeovers],
    "everything": Object.values(RestartHazard).filter(hazard => hazard !== NewLife),
    "new-life": [LostAnswers, LateOrders, NewLife],
};
