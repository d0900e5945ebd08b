import { HttpInstanceList } from "@sycamorepulley/store";
import t from "tap";
import { FILE, startPlatform } from "./example.ts";

t.test("evacuates a data centre and takes that back; comments are kept", async (t) => {
  const { command, file } = await startPlatform(t);
  t.match(await command("evacuate", "north"), {
    exitCode: 1,
    errors: /nothing is published yet/,
  });
  await command("apply", file(FILE));
  t.match(await command("evacuate", "north", "--reason", "power work"), {
    exitCode: 0,
    output: /^north is evacuated from revision \d+ on$/,
  });
  const { output } = await command("get");
  t.match(output, /\/\/ Served first\./);
  t.match(await command("get", "evacuations"), { output: "north" });
  t.match(await command("evacuate", "north"), { output: /nothing to change/ });
  t.match(await command("evacuate", "south"), { exitCode: 0 });
  t.match(await command("evacuate", "north", "--end"), {
    exitCode: 0,
    output: /^north is used again/,
  });
  t.match(await command("get", "evacuations"), { output: "south" });
  t.match(await command("evacuate", "north", "--end"), {
    output: /nothing to change: north is not evacuated/,
  });
});

t.test("shows evacuations with the number of their servers", async (t) => {
  const { command, file, instances } = await startPlatform(t);
  await command("apply", file(FILE));
  t.match(await command("evacuations"), {
    output: "no data centre is evacuated",
  });
  const list = new HttpInstanceList({ url: instances.url });
  t.teardown(() => list.close());
  await list.register({
    name: "sidecar-1",
    role: "sidecar",
    host: "127.0.0.1",
    port: 1,
    dataCentre: "north",
    service: "orders",
    leaving: false,
    statusPort: 1,
  });
  await command("evacuate", "north", "--reason", "power work");
  t.match(await command("evacuations"), { output: /north +1 +power work/ });
});
