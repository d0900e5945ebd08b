/**
 * The bench's command line:
 * `npm run bench -- [--section patterns|aim|ablations|all] [--seed 1]
 * [--pattern overload-2] [--deployment zlati]`.
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import {
  ablationSection,
  aimSection,
  patternSection,
  type SectionOptions,
} from "./sections.ts";
import { collective } from "./workload/collective.ts";
import { patterns } from "./workload/pattern.ts";
import { zlati } from "./workload/zlati.ts";

const DEPLOYMENTS = [zlati, collective];

type Section = (options: SectionOptions) => Generator<string>;

const SECTIONS = new Map<string, Section[]>([
  ["patterns", [patternSection]],
  ["aim", [aimSection]],
  ["ablations", [ablationSection]],
  ["all", [patternSection, aimSection, ablationSection]],
]);

function main(): void {
  const { values } = parseArgs({
    options: {
      section: { type: "string", default: "patterns" },
      seed: { type: "string", default: "1" },
      pattern: { type: "string" },
      deployment: { type: "string" },
    },
  });
  const sections = SECTIONS.get(values.section);
  if (sections === undefined) fail("section", [...SECTIONS.keys()]);
  const seed = Number(values.seed);
  if (!Number.isSafeInteger(seed)) fail("seed", ["a whole number"]);
  const options = {
    deployments: named(DEPLOYMENTS, "deployment", values.deployment),
    patterns: named(patterns, "pattern", values.pattern),
    seed,
  };
  console.log(`Seed ${seed}.`);
  for (const section of sections) {
    for (const text of section(options)) console.log(`\n${text}`);
  }
}

function named<Named extends { name: string }>(
  all: readonly Named[],
  option: string,
  name: string | undefined,
): readonly Named[] {
  if (name === undefined) return all;
  const found = all.filter((one) => one.name === name);
  if (found.length === 0) fail(option, all.map((one) => one.name));
  return found;
}

function fail(option: string, allowed: string[]): never {
  console.error(`--${option}: use ${allowed.join(", ")}`);
  process.exit(2);
}

main();
