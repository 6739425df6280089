#include "cornelhill/config/declaration_diff.h"

#include <criterion/criterion.h>

namespace cornelhill {
namespace {

ServiceDeclaration Service(const std::string& name, uint32_t host) {
  return {name, {host, 7000}, Protocol::kUdp, name, SchedulingRules()};
}

// Guards against a change that `plan` does not show to the operator.
Test(declaration_diff, lists_each_change_once) {
  const Declaration before{{Service("a", 1), Service("b", 2), Service("d", 4)}};
  Declaration after{{Service("b", 2), Service("c", 3), Service("d", 4)}};
  after.services[0].address = {9, 7000};
  after.services[0].protocol = Protocol::kTcp;
  after.services[0].application = "z";
  after.services[2].rules.short_quantum = Millis(40);
  after.services[2].rules.retry_permille = 0;
  const std::string text = RenderChanges(DiffDeclarations(before, after));
  cr_assert_str_eq(text.c_str(),
                   "- service a: udp 0.0.0.1:7000, application a\n"
                   "~ service b: address 0.0.0.2:7000 -> 0.0.0.9:7000\n"
                   "~ service b: protocol udp -> tcp\n"
                   "~ service b: application b -> z\n"
                   "+ service c: udp 0.0.0.3:7000, application c\n"
                   "~ service d: rules.short_quantum_ms 100 -> 40\n"
                   "~ service d: rules.retry_permille 100 -> 0\n");
  cr_assert(RenderChanges(DiffDeclarations(after, after)) == "no changes\n");
  cr_assert_eq(DiffDeclarations(Declaration(), before).size(), 3);
  cr_assert_eq(DiffDeclarations(before, Declaration()).size(), 3);
}

}  // namespace
}  // namespace cornelhill
