import { readFileSync } from "node:fs";
import { checkObjects, readObjects } from "@sycamorepulley/configuration";
import t from "tap";

for (const name of ["delivery_assistant", "restoration_quotes"]) {
  t.test(name, (t) => {
    const file = `examples/${name}/objects.jsonc`;
    const read = readObjects(readFileSync(file, "utf8"), file);
    t.ok(read.isOk, read.isErr ? JSON.stringify(read.error) : "is read");
    if (read.isOk) {
      const { objects, source } = read.value;
      t.same(checkObjects(objects, { source, now: 0 }), []);
    }
    t.end();
  });
}
