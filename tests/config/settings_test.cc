#include "cornelhill/config/settings.h"

#include <criterion/criterion.h>

#include <string>

#include "cornelhill/base/hash.h"

namespace cornelhill {
namespace {

constexpr const char* kData = "tests/config/data/";

// Guards against a default or a field that differs from docs/settings.md.
Test(settings, reads_each_role) {
  const Result<Settings> balancer =
      LoadSettings(std::string(kData) + "balancer.settings.json");
  cr_assert(balancer.has_value(), "%s", balancer.error().message.c_str());
  cr_assert(balancer.value().role == Role::kBalancer);
  cr_assert_eq(balancer.value().instance_id.Value(), Hash64("b-1"));
  cr_assert_eq(ToString(balancer.value().ingress.fabric), "127.0.0.3:8002");
  cr_assert_eq(balancer.value().ingress.threads, 2);
  cr_assert_eq(balancer.value().flow_cache_entries, 262144);
  cr_assert_not(balancer.value().metrics_address.has_value());

  const Result<Settings> agent =
      LoadSettings(std::string(kData) + "agent.settings.json");
  cr_assert(agent.has_value(), "%s", agent.error().message.c_str());
  cr_assert_eq(agent.value().slots, 2);
  cr_assert_eq(agent.value().connections, 2000);
  cr_assert_eq(agent.value().weight, 100);
  cr_assert_eq(ToString(agent.value().delivery.upstream), "127.0.0.5:8002");

  const Result<Settings> control =
      LoadSettings(std::string(kData) + "control.settings.json");
  cr_assert(control.has_value(), "%s", control.error().message.c_str());
  cr_assert_eq(control.value().member, "c-2");
  cr_assert_eq(control.value().control.size(), 2);
}

}  // namespace
}  // namespace cornelhill
