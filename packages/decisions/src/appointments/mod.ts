/** Decides when refused callers return. @module */
export { AppointmentPlanner } from "./appointment_planner.ts";
export type { PlannedReturn, RefusedRequest } from "./appointment_planner.ts";
export { APPOINTMENT_TOLERANCE, Appointments } from "./appointments.ts";
export type {
  Appointment,
  AppointmentCounts,
  AppointmentRequest,
  ServiceAppointment,
} from "./appointments.ts";
export {
  AppointmentShares,
  EqualAppointmentShares,
} from "./appointment_shares.ts";
export { CapacityForecast } from "./capacity_forecast.ts";
export type { CapacityInputs, FreeCapacity } from "./capacity_forecast.ts";
