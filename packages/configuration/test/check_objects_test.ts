import t from "tap";
import { checkObjects, describeProblem, readObjects } from "../src/mod.ts";
import { EXAMPLE, NOW, readExample } from "./example.ts";

/** Problems of the example file after replacing one text by another. */
function problemsWith(replaced: string, replacement: string): string[] {
  const text = EXAMPLE.replace(replaced, replacement);
  if (text === EXAMPLE) {
    throw new Error(`the example does not contain ${replaced}`);
  }
  const read = readObjects(text, "fleet.jsonc");
  const problems = read.isErr
    ? read.error
    : checkObjects(read.value.objects, { now: NOW, source: read.value.source });
  return problems.map(describeProblem);
}

t.test("accepts a consistent file", (t) => {
  const { objects, source } = readExample(EXAMPLE);
  t.same(checkObjects(objects, { now: NOW, source }), []);
  t.end();
});

t.test("a problem states its file, line, object, field and fix", (t) => {
  const [problem] = problemsWith('"tier": "batch"', '"tier": "bulk"');
  t.equal(
    problem,
    "fleet.jsonc:13: services/orders: routes[1].tier: " +
      'there is no tier "bulk". ' +
      "Mend: add the tier or name one that exists (urgent, batch).",
  );
  t.end();
});

const invalidFiles: [
  name: string,
  replaced: string,
  replacement: string,
  pattern: RegExp,
][] = [
  [
    "a default tier that does not exist",
    '"defaultTier": "urgent" },',
    '"defaultTier": "x" },',
    /:8: services\/assistant: defaultTier: there is no tier "x"/,
  ],
  [
    "an organisation's service that does not exist",
    '"services": ["assistant",',
    '"services": ["help",',
    /organisations\/cafe: services\[0\]: there is no service "help"/,
  ],
  [
    "an organisation's tier that does not exist",
    '"tiers": ["batch"]',
    '"tiers": ["night"]',
    /tiers\[0\]: there is no tier "night"/,
  ],
  [
    "a move to a version that does not exist",
    '"to": "v2"',
    '"to": "v3"',
    /moves\/to-v2: to: there is no version .* "v3"/,
  ],
  [
    "two tiers with the same rank",
    '"rank": 1',
    '"rank": 0',
    /tiers\/batch: rank: the rank is already used by tiers\/urgent/,
  ],
  [
    "two services with the same name",
    '"name": "orders"',
    '"name": "assistant"',
    /services\/assistant: name: the name is already used/,
  ],
  [
    "two routes with the same method and path",
    '"/orders/search"',
    '"/orders/*"',
    /routes\[1\].path: the method with this path is already used/,
  ],
  [
    "a GET route that is not idempotent",
    '"POST", "path": "/orders/*"',
    '"GET", "path": "/orders/*"',
    /routes\[0\].idempotent: clients retry GET/,
  ],
  [
    "a wildcard inside a path",
    '"/orders/*"',
    '"/*/orders"',
    /routes\[0\].path: "\*" is not at the end/,
  ],
  [
    "models of a plain service",
    '"kind": "plain"',
    '"kind": "plain", "models": ["m"]',
    /models: a plain service can't have models/,
  ],
  [
    "two live versions",
    '"v2", "service": "assistant"',
    '"v2", "service": "assistant", "live": true',
    /versions\/assistant\/v2: live: version "v1"/,
  ],
  [
    "no live version",
    '"live": true',
    '"live": false',
    /versions\/assistant\/v1: live: no version/,
  ],
  [
    "a deadline in the past",
    "2030-01-01T01",
    "2029-01-01T01",
    /moves\/to-v2: deadline: .* has passed/,
  ],
  [
    "two unfinished moves of one service",
    '"moves": [',
    '"moves": [{ "name": "other", "service": "assistant", "from": "v1", "to": "v2", "deadline": "2030-01-01T02:00:00Z" },',
    /moves\/to-v2: service: move "other"/,
  ],
  [
    "a move from a version to itself",
    '"to": "v2"',
    '"to": "v1"',
    /to: from and to name the same version/,
  ],
  [
    "a move from a version that is not live",
    '"from": "v1", "to": "v2"',
    '"from": "v2", "to": "v1"',
    /from: version "v2" is not live/,
  ],
  [
    "an unknown field",
    '"rank": 1',
    '"rank": 1, "renk": 2',
    /:5: tiers\/batch: renk: there is no field "renk"/,
  ],
  ["a missing field", '"rank": 1, ', "", /:5: tiers\/batch: rank: missing/],
  [
    "a wrong type",
    '"rank": 1',
    '"rank": "high"',
    /:5: tiers\/batch: rank: Invalid type/,
  ],
  [
    "a duplicate field",
    '"versions": [',
    '"tiers": [], "versions": [',
    /tiers: the field is defined a second time here/,
  ],
  [
    "a syntax error",
    '"rank": 1,',
    '"rank": 1',
    /fleet.jsonc:5: not JSON with comments/,
  ],
];

for (const [name, replaced, replacement, pattern] of invalidFiles) {
  t.test(name, (t) => {
    t.ok(
      problemsWith(replaced, replacement).some((text) => pattern.test(text)),
      problemsWith(replaced, replacement).join("\n"),
    );
    t.end();
  });
}

t.test("a credential of two organisations is reported with both names", (t) => {
  const { objects } = readExample(EXAMPLE);
  const [cafe] = objects.organisations;
  objects.organisations.push({ ...cafe!, name: "guild" });
  const [problem] = checkObjects(objects, { now: NOW });
  t.match(problem, {
    object: "organisations/guild",
    field: "credentials[0]",
    detail: "the credential is already used by organisations/cafe",
  });
  t.end();
});

t.test("a published move may stay unchanged after its deadline", (t) => {
  const { objects } = readExample(EXAMPLE);
  const later = NOW + 24 * 3_600_000;
  t.equal(checkObjects(objects, { now: later }).length, 1);
  t.same(checkObjects(objects, { now: later, before: objects }), []);
  t.end();
});
