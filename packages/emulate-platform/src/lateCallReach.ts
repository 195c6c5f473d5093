/** Which lives of a worker apply a call that is carried out late. */
export enum LateCallReach {
    /** Only the life that the call was sent to. */
    SameLife = "same-life",
    /** Also the next life, once a call with a higher fencing token than the former life has seen has reached it. */
    FencedLife = "fenced-life",
    /** Also the next life from its first moment. */
    AnyLife = "any-life",
}
