/** Which backend server a request is sent to, and when. @module */
export type {
  Ask,
  AskRefusal,
  AskVerdict,
  RefusalInputs,
  RunEnd,
} from "./ask.ts";
export { Desk } from "./desk.ts";
export type { ServiceLoad } from "./desk.ts";
export type { AnswerPace } from "./server_room.ts";
export { ServiceDesk } from "./service_desk.ts";
