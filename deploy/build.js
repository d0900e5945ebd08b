/**
 * Bundles each role into one file below `target/`, or the folder that is named:
 * a bundle starts faster and takes less memory than several hundred modules.
 * @module
 */
import { build } from "esbuild";
import process from "node:process";

const packages = ["decisions", "gateway", "protocol", "store"];
const alias = Object.fromEntries(
  packages.map((name) => [
    `@sycamorepulley/${name}`,
    `./packages/${name}/src/mod.ts`,
  ]),
);

/**
 * Leaves out what undici's entry module loads beside its client: fetch, web
 * sockets, mocks and caches are 400 KB that every start would compile. Measured
 * as processor time of a start on one core: 0.29 s with them, less without.
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
      // Some of it is constructed as the entry module loads.
      contents: "module.exports = new Proxy({}, { get: () => class {} });",
    }));
  },
};

/**
 * Takes the state machine library into the bundle. Its wrapper loads it by
 * `require`, which a bundler does not follow: the program then ended at its
 * start wherever `node_modules` was not beside it.
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

await build({
  plugins: [withoutWeb, withStateMachines],
  entryPoints: { gateway: "platform/src/main.ts" },
  outdir,
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // Some dependencies have a UMD build as main, which no bundler can follow.
  mainFields: ["module", "main"],
  alias,
  legalComments: "none",
  // Halves what node has to parse at a start.
  minify: true,
  keepNames: true,
  logLevel: "warning",
  // Dependencies in CommonJS ask for node's own modules by `require`.
  banner: {
    js:
      'import { createRequire as createRequireHere } from "node:module"; const require = createRequireHere(import.meta.url);',
  },
}).catch(() => process.exit(1));
