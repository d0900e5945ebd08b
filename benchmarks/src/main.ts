/**
 * The command line of the simulation benchmark:
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
  if (sections === undefined) {
    exitWithUsageError("section", [...SECTIONS.keys()]);
  }
  const seed = Number(values.seed);
  if (!Number.isSafeInteger(seed)) {
    exitWithUsageError("seed", ["a whole number"]);
  }
  const options = {
    deployments: selectByName(DEPLOYMENTS, "deployment", values.deployment),
    patterns: selectByName(patterns, "pattern", values.pattern),
    seed,
  };
  console.log(`Seed ${seed}.`);
  for (const section of sections) {
    for (const text of section(options)) console.log(`\n${text}`);
  }
}

function selectByName<NamedItem extends { name: string }>(
  all: readonly NamedItem[],
  option: string,
  name: string | undefined,
): readonly NamedItem[] {
  if (name === undefined) return all;
  const found = all.filter((item) => item.name === name);
  if (found.length === 0) {
    exitWithUsageError(
      option,
      all.map((item) => item.name),
    );
  }
  return found;
}

function exitWithUsageError(option: string, allowed: string[]): never {
  console.error(`--${option}: use ${allowed.join(", ")}`);
  process.exit(2);
}

main();
