#include "cornelhill/node/connected_daemons.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

namespace cornelhill {
namespace {

constexpr Millis kSecond{1000};

struct Fixture {
  Fixture()
      : daemons(Millis(0),
                {[this](const NodeSocket::Peer& peer, const Update& update) {
                   this->sent.emplace_back(peer.routing_id, update);
                 },
                 [] { return std::vector<std::string>(); }}) {}

  void HelloOfBalancer(Millis now, const std::string& id) {
    Hello hello;
    hello.balancer = true;
    hello.directory = true;
    this->daemons.OnHello(now, {id, std::nullopt}, hello);
  }

  void HelloOfAgent(Millis now, uint32_t host) {
    Hello hello;
    AgentRecord record;
    record.address = {host, 7721};
    record.slots = 2;
    hello.agent.push_back(record);
    this->daemons.OnHello(now, {std::to_string(host), std::nullopt}, hello);
  }

  std::vector<std::pair<std::string, Update>> sent;
  ConnectedDaemons daemons;
};

// Guards against resets of open flows: a core member that had been suspended
// dropped all agents, since its clock went on, and told a balancer that the
// directory without them was complete.
Test(connected_daemons, a_directory_after_a_pause_is_not_complete) {
  Fixture core;
  for (Millis now(0); now < Millis(5000); now += kSecond) {
    core.HelloOfAgent(now, 1);
    core.daemons.Expire(now);
  }
  core.HelloOfBalancer(Millis(5000), "b");
  cr_assert(core.sent.back().second.complete);
  const Millis resumed(30000);
  core.HelloOfBalancer(resumed, "b");
  cr_assert_not(core.sent.back().second.complete);
  core.daemons.Expire(resumed);
  cr_assert_eq(core.daemons.Agents().Entries().size(), 1U);
  core.HelloOfAgent(resumed + Millis(300), 1);
  core.daemons.Expire(resumed + kSecond);
  core.daemons.Expire(resumed + kSecond * 2);
  core.HelloOfBalancer(resumed + kSecond * 2, "b");
  cr_assert(core.sent.back().second.complete);
  cr_assert_eq(core.sent.back().second.agents.size(), 1U);
}

// Fails if an agent that is gone stays in the directory of a core member that
// has been running all the while.
Test(connected_daemons, a_silent_agent_expires) {
  Fixture core;
  core.HelloOfAgent(Millis(0), 1);
  for (Millis now(0); now < Millis(9000); now += kSecond) {
    core.HelloOfAgent(now, 2);
    core.daemons.Expire(now);
  }
  cr_assert_eq(core.daemons.Agents().Entries().size(), 1U);
}

}  // namespace
}  // namespace cornelhill
