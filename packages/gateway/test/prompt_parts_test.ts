import t from "tap";
import { parsePromptParts } from "../src/front/prompt_parts.ts";

t.test("parts of a prompt are known by model and id, but for the last", (t) => {
  t.same(parsePromptParts("5c1e:800,91BD:410, e440:250", "m"), [
    "part:m.5c1e",
    "part:m.91bd",
  ]);
  t.same(parsePromptParts("5c1e:800", "m"), []);
  t.same(parsePromptParts(undefined, "m"), []);
  t.not(
    parsePromptParts("a:1,b:1", "m")[0],
    parsePromptParts("a:1,b:1", "n")[0],
  );
  t.end();
});

t.test("parts that a caller makes up are bounded in number and length", (t) => {
  const many = Array.from({ length: 1000 }, (_, index) => `${index}:1`);
  t.equal(parsePromptParts(many.join(","), "m").length, 32);
  const [long] = parsePromptParts(`${"f".repeat(8000)}:1,b:1`, "m");
  t.ok(long!.length < 40);
  const [odd] = parsePromptParts("a&b:1,c:1", "m");
  t.notMatch(odd, "&", "it can't name other parts");
  t.end();
});
