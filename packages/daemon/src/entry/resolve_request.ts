/**
 * Resolves the service, organisation, tier and route of a caller's request. A
 * pure function of the request and the configuration.
 * @module
 */
import { createHash } from "node:crypto";
import Result from "true-myth/result";
import type {
  ConfigurationIndex,
  Organisation,
  Service,
  Tier,
} from "@sycamorepulley/configuration";
import type { CostEstimator } from "@sycamorepulley/decisions";
import { endToEndHeaders } from "../common/end_to_end_headers.ts";
import { readChatCompletion } from "./chat_completion.ts";
import type { ChatCompletion } from "./chat_completion.ts";
import { CHAT_COMPLETIONS_PATH, SERVICE_PATH_PREFIX } from "./http_frontend.ts";
import { headerValue } from "./raw_request.ts";
import type { RawRequest } from "./raw_request.ts";
import { permanentRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { ResolvedRequest } from "./resolved_request.ts";

/** Header that asks for a tier by name. */
export const TIER_HEADER = "sycamorepulley-tier";
/** Header that states the deadline in milliseconds from now. */
export const DEADLINE_HEADER = "sycamorepulley-deadline";
/** Header with a key that a request shares with its retries only. */
export const IDEMPOTENCY_HEADER = "idempotency-key";

/** In UTF-16 code units. */
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** Headers that are not forwarded, as they don't concern the backend server. */
const OWN_HEADERS: ReadonlySet<string> = new Set([
  "host",
  "content-length",
  "authorization",
  TIER_HEADER,
  DEADLINE_HEADER,
]);

/** Options of {@link resolveRequest}. */
export type ResolveOptions = {
  raw: RawRequest;
  index: ConfigurationIndex;
  estimator: CostEstimator;
  /** On the monotonic clock, in milliseconds. */
  now: number;
};

type Target = {
  service: Service;
  /** Path and query at the backend server. */
  path: string;
  completion?: ChatCompletion | undefined;
};

/** Returns the resolved request, or why it is refused. */
export function resolveRequest(
  options: ResolveOptions,
): Result<ResolvedRequest, Refusal> {
  const { raw, index } = options;
  return findOrganisation(raw, index).andThen((organisation) =>
    findTarget(raw, index)
      .andThen((target) => checkServiceAllowed(organisation, target))
      .andThen((target) => resolveTarget({ ...options, organisation, target }))
  );
}

/**
 * Largest body, in bytes, that the request's service accepts. The service of a
 * chat completion is not known before its body is read, so the largest bound of
 * all services applies to it.
 */
export function maxBodyBytes(path: string, index: ConfigurationIndex): number {
  const service = index.service(serviceName(path) ?? "");
  if (service) return service.bounds.bodyBytes;
  const bounds = index.objects.services.map((candidate) =>
    candidate.bounds.bodyBytes
  );
  return Math.max(0, ...bounds);
}

function findOrganisation(
  raw: RawRequest,
  index: ConfigurationIndex,
): Result<Organisation, Refusal> {
  const authorization = headerValue(raw.headers, "authorization") ?? "";
  const token = /^bearer +(\S+)$/i.exec(authorization)?.[1];
  const organisation = token === undefined
    ? undefined
    : index.organisationOfToken(token);
  if (organisation) return Result.ok(organisation);
  return Result.err(
    permanentRefusal(
      "unauthorized",
      "send an organisation's token as `Authorization: Bearer <token>`",
    ),
  );
}

function findTarget(
  raw: RawRequest,
  index: ConfigurationIndex,
): Result<Target, Refusal> {
  const name = serviceName(raw.path);
  if (name !== undefined) return findPlainService(raw, name, index);
  if (
    raw.path.split("?")[0] !== CHAT_COMPLETIONS_PATH || raw.method !== "POST"
  ) {
    return Result.err(
      permanentRefusal(
        "unknown_path",
        `use POST ${CHAT_COMPLETIONS_PATH} or ${SERVICE_PATH_PREFIX}<service>/<path>`,
      ),
    );
  }
  return findModelService(raw, index);
}

function findPlainService(
  raw: RawRequest,
  name: string,
  index: ConfigurationIndex,
): Result<Target, Refusal> {
  const service = index.service(name);
  if (service?.kind !== "plain") {
    return Result.err(
      permanentRefusal("unknown_service", `there is no plain service ${name}`),
    );
  }
  const path = raw.path.slice(SERVICE_PATH_PREFIX.length + name.length);
  return Result.ok({ service, path: path.startsWith("/") ? path : `/${path}` });
}

function findModelService(
  raw: RawRequest,
  index: ConfigurationIndex,
): Result<Target, Refusal> {
  const completion = readChatCompletion(raw.body);
  if (!completion) {
    return Result.err(
      permanentRefusal(
        "malformed_request",
        "the body is no chat completion: a JSON object with `model` and " +
          "`messages` is needed",
      ),
    );
  }
  const service = index.serviceOfModel(completion.model);
  if (!service) {
    return Result.err(
      permanentRefusal(
        "unknown_model",
        `no service has the model ${completion.model}`,
      ),
    );
  }
  if (completion.promptBytes > service.bounds.bodyBytes) {
    return Result.err(
      permanentRefusal(
        "body_too_large",
        `${service.name} takes bodies up to ${service.bounds.bodyBytes} bytes`,
      ),
    );
  }
  return Result.ok({ service, path: CHAT_COMPLETIONS_PATH, completion });
}

function checkServiceAllowed(
  organisation: Organisation,
  target: Target,
): Result<Target, Refusal> {
  if (organisation.services.includes(target.service.name)) {
    return Result.ok(target);
  }
  return Result.err(
    permanentRefusal(
      "service_not_allowed",
      `${organisation.name} may not use ${target.service.name}`,
    ),
  );
}

function resolveTarget(
  options: ResolveOptions & { organisation: Organisation; target: Target },
): Result<ResolvedRequest, Refusal> {
  const { raw, index, organisation, target, now } = options;
  const pathname = target.path.split("?")[0] ?? "";
  const treatment = index.matchRoute(target.service, raw.method, pathname);
  const requestedTier = headerValue(raw.headers, TIER_HEADER);
  const tier = index.resolveTier({
    organisation,
    defaultTier: treatment.tier,
    ...(requestedTier === undefined ? {} : { requestedTier }),
  }).mapErr((reason) =>
    permanentRefusal(
      reason,
      `the tier ${requestedTier ?? treatment.tier} can't be had`,
    )
  );
  return tier.andThen((tier) =>
    deadlineOf(raw, tier, now).andThen((deadline) =>
      idempotencyKeyOf(raw, treatment.idempotent).map((idempotencyKey) => ({
        ...requestFields(options, treatment.route),
        tier: { name: tier.name, rank: tier.rank },
        firstTokenBy: tier.firstTokenGoal && now + tier.firstTokenGoal,
        idempotent: treatment.idempotent,
        idempotencyKey,
        deadline,
      }))
    )
  );
}

function deadlineOf(
  raw: RawRequest,
  tier: Tier,
  now: number,
): Result<number, Refusal> {
  const header = headerValue(raw.headers, DEADLINE_HEADER);
  if (header === undefined) return Result.ok(now + tier.defaultDeadline);
  const duration = Number(header);
  if (Number.isSafeInteger(duration) && duration > 0) {
    return Result.ok(now + duration);
  }
  return Result.err(
    permanentRefusal(
      "malformed_deadline",
      `${DEADLINE_HEADER} takes whole milliseconds from 1`,
    ),
  );
}

/**
 * A non-idempotent call needs a key: without one, a retry after a lost response
 * can't be told from a second order.
 */
function idempotencyKeyOf(
  raw: RawRequest,
  idempotent: boolean,
): Result<string | undefined, Refusal> {
  const key = headerValue(raw.headers, IDEMPOTENCY_HEADER);
  if (idempotent) return Result.ok(undefined);
  if (key === undefined) {
    return Result.err(
      permanentRefusal(
        "idempotency_key_required",
        "this call may not run twice: send an `Idempotency-Key` that is new " +
          "for each order and the same for its resends",
      ),
    );
  }
  if (key.length > 0 && key.length <= MAX_IDEMPOTENCY_KEY_LENGTH) {
    return Result.ok(key);
  }
  return Result.err(
    permanentRefusal(
      "malformed_idempotency_key",
      `an Idempotency-Key has 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
    ),
  );
}

function requestFields(
  options: ResolveOptions & { organisation: Organisation; target: Target },
  route: string,
) {
  const { raw, estimator, organisation, target, now } = options;
  const { service, path, completion } = target;
  const estimateInput = {
    service: service.name,
    organisation: organisation.name,
    route,
    promptBytes: raw.body.byteLength,
    ...(completion?.maximumOutputTokens === undefined
      ? {}
      : { maximumOutputTokens: completion.maximumOutputTokens }),
  };
  return {
    service,
    organisation: organisation.name,
    route,
    arrived: now,
    cost: completion
      ? estimator.estimate(estimateInput)
      : { promptTokens: 0, outputTokens: 1 },
    prefixKey: completion?.prefixKey,
    fingerprint: fingerprintOf(raw, service),
    promptParts: completion?.promptParts ?? [],
    method: raw.method,
    path,
    headers: endToEndHeaders(raw.headers, OWN_HEADERS),
    body: raw.body,
    maximumOutputTokens: completion?.maximumOutputTokens,
  };
}

/** Hash of what would run; the same for each retry, whoever sends it. */
function fingerprintOf(raw: RawRequest, service: Service): string {
  return createHash("sha256")
    .update(`${service.name}\0${raw.method}\0${raw.path}\0`)
    .update(raw.body)
    .digest("base64url")
    .slice(0, 22);
}

function serviceName(path: string): string | undefined {
  if (!path.startsWith(SERVICE_PATH_PREFIX)) return undefined;
  return path.slice(SERVICE_PATH_PREFIX.length).split(/[/?]/)[0];
}
