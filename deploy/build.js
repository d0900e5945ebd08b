/**
 * Bundles the gateway into one file in `target/`, or in the directory given as
 * the first argument, and writes its code cache. A bundle starts faster and
 * takes less memory than several hundred modules.
 * @module
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { createHash } from "node:crypto";
import { copyFileSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const packages = ["decisions", "gateway", "protocol", "receiving", "store"];
const alias = Object.fromEntries(
  packages.map((name) => [
    `@sycamorepulley/${name}`,
    `./packages/${name}/src/mod.ts`,
  ]),
);

/**
 * Replaces what undici's entry module loads in addition to its client by stubs.
 * Fetch, web sockets, mocks and caches are 400 KB that would be compiled at each
 * start; with them a start takes 0.29 s of processor time on one core, without
 * them less.
 */
const withoutWeb = {
  name: "undici-client-only",
  setup({ onResolve, onLoad }) {
    onResolve(
      { filter: /^\.\/lib\/(web|mock|interceptor|cache)\// },
      (found) =>
        found.importer.endsWith("/undici/index.js")
          ? { path: found.path, namespace: "left-out" }
          : undefined,
    );
    onLoad({ filter: /.*/, namespace: "left-out" }, () => ({
      // The entry module constructs some of these classes when it loads.
      contents: "module.exports = new Proxy({}, { get: () => class {} });",
    }));
  },
};

/**
 * Includes the state machine library in the bundle. Its wrapper module loads it
 * by `require`, which a bundler does not follow, so the program would exit at
 * the start wherever there is no `node_modules`.
 */
const withStateMachines = {
  name: "state-machines",
  setup({ onLoad }) {
    onLoad({ filter: /[/\\]lifecycle[/\\]robot\.ts$/ }, () => ({
      contents: 'export * as robot from "robot3";',
      resolveDir: "packages/decisions",
    }));
  },
};

const [outdir = "target"] = process.argv.slice(2);
const bundle = join(outdir, "gateway.bundle.cjs");
const cache = join(outdir, "gateway.cache");

// A build that fails must not leave an earlier program, nor the code cache of
// one: V8 accepts a cache for any source of the same length.
for (const file of [bundle, cache, join(outdir, "gateway.cjs")]) {
  rmSync(file, { force: true });
}

/** Replaced in the bundle by a hash of its text. */
const BUILD_PLACEHOLDER = "@build-hash@";

await build({
  define: { SYCAMOREPULLEY_BUILD: JSON.stringify(BUILD_PLACEHOLDER) },
  plugins: [withoutWeb, withStateMachines],
  entryPoints: { gateway: "platform/src/main.ts" },
  outdir,
  outExtension: { ".js": ".bundle.cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  // V8 keeps code caches of scripts, but not of modules.
  format: "cjs",
  // The `main` of some dependencies is a UMD build, which bundlers can't follow.
  mainFields: ["module", "main"],
  alias,
  legalComments: "none",
  // Halves the amount of code that Node.js has to parse at a start.
  minify: true,
  keepNames: true,
  logLevel: "warning",
}).catch(() => process.exit(1));

const text = readFileSync(bundle, "utf8");
const hash = createHash("sha256").update(text).digest("hex").slice(0, 12);
writeFileSync(bundle, text.replaceAll(BUILD_PLACEHOLDER, hash));
console.log(`built gateway ${hash}`);

copyFileSync("deploy/gateway.cjs", join(outdir, "gateway.cjs"));
const flags = /^run = "node (.*) target/m
  .exec(readFileSync("deploy/system.toml", "utf8"))?.[1] ?? "";
execFileSync(process.execPath, [
  ...flags.split(" "),
  "deploy/write_code_cache.cjs",
  outdir,
]);
