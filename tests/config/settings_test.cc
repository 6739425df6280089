#include "cornelhill/config/settings.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "cornelhill/base/hash.h"

namespace cornelhill {
namespace {

using Json = nlohmann::json;

Json Balancer() {
  return Json::parse(R"({
    "role": "balancer", "instance": "b-1", "region": "iberia-norte",
    "failure_domain": "a",
    "control": [{"name": "c-1", "address": "127.0.0.1:9001"},
                {"name": "c-2", "address": "127.0.0.1:9002"}],
    "data_address": "127.0.0.2:8000",
    "ingress": {"plugin": "udp", "address": "127.0.0.2:8001",
                "fabric": "127.0.0.3:8002"}})");
}

Json Agent() {
  Json agent = Balancer();
  agent["role"] = "agent";
  agent.erase("ingress");
  agent["application"] = "aula";
  agent["slots"] = 2;
  agent["delivery"] = {{"plugin", "ip"},
                       {"address", "127.0.0.4:8001"},
                       {"upstream", "127.0.0.5:8002"}};
  return agent;
}

Json Control() {
  Json control = Balancer();
  control["role"] = "control";
  control.erase("ingress");
  control.erase("data_address");
  control["member"] = "c-2";
  control["data_directory"] = "/var/lib/cornelhill";
  return control;
}

// Guards against a default or a field that differs from docs/settings.md.
Test(settings, reads_each_role) {
  const Result<Settings> balancer = ParseSettings(Balancer().dump(), "b.json");
  cr_assert(balancer.has_value(), "%s", balancer.error().message.c_str());
  cr_assert(balancer.value().role == Role::kBalancer);
  cr_assert_eq(balancer.value().instance_id.Value(), Hash64("b-1"));
  cr_assert_eq(ToString(balancer.value().ingress.fabric), "127.0.0.3:8002");
  cr_assert_eq(balancer.value().ingress.threads, 2);
  cr_assert_eq(balancer.value().flow_cache_entries, 262144);
  cr_assert_not(balancer.value().metrics_address.has_value());

  const Result<Settings> agent = ParseSettings(Agent().dump(), "a.json");
  cr_assert(agent.has_value(), "%s", agent.error().message.c_str());
  cr_assert_eq(agent.value().slots, 2);
  cr_assert_eq(agent.value().connections, 2000);
  cr_assert_eq(agent.value().weight, 100);
  cr_assert_eq(ToString(agent.value().delivery.upstream), "127.0.0.5:8002");

  const Result<Settings> control = ParseSettings(Control().dump(), "c.json");
  cr_assert(control.has_value(), "%s", control.error().message.c_str());
  cr_assert_eq(control.value().member, "c-2");
  cr_assert_eq(control.value().control.size(), 2);
}

}  // namespace
}  // namespace cornelhill
