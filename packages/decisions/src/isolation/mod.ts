/** What one service may hold, so that its trouble stays its own. @module */
export { WaitingAllowance } from "./waiting_allowance.ts";
export type {
  Release,
  WaitingBounds,
  WaitingRefusal,
  WaitingRequest,
} from "./waiting_allowance.ts";
