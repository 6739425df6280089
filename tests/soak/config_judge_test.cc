#include "tools/soak/config_judge.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace cornelhill::soak {
namespace {

constexpr Millis kCalm{100000};  // Long after the start of the run.

// A judge that has seen versions 1 and 2 acknowledged, 2 at `kCalm`.
struct Fixture {
  Fixture() : judge(ConfigBounds()) {
    this->judge.OnSent(Millis(0), 1, "one", {{8000, "alpha"}}, true);
    this->judge.OnAnswered(Millis(10), 1, 200, "");
    this->judge.OnSent(kCalm - Millis(10), 2, "two",
                       {{8000, "beta"}, {8001, "alpha"}}, true);
    this->judge.OnAnswered(kCalm, 2, 200, "");
  }

  void Probe(Millis sent, uint16_t port, const std::string& service) {
    this->judge.OnProbe({"entry", 1, sent, sent + Millis(5), port, service});
  }

  ConfigJudge judge;
};

Test(config_judge, a_balancer_may_be_behind_for_the_propagation_time) {
  Fixture keeps;
  keeps.Probe(kCalm + Millis(2999), 8000, "alpha");
  cr_assert(keeps.judge.Violations().empty());
  Fixture breaks;
  breaks.Probe(kCalm + Millis(3000), 8000, "alpha");
  cr_assert_eq(breaks.judge.Violations().size(), 1U);
}

Test(config_judge, a_route_that_was_added_must_be_served) {
  Fixture breaks;
  breaks.Probe(kCalm + Millis(3001), 8001, "");
  cr_assert_eq(breaks.judge.Violations().size(), 1U);
}

Test(config_judge, a_disturbed_balancer_is_excused_for_the_stability_window) {
  Fixture keeps;
  const size_t number =
      keeps.judge.BeginDisturbance(Disturbed::kBalancer, "entry", kCalm);
  keeps.judge.EndDisturbance(number, kCalm + Millis(2000));
  keeps.Probe(kCalm + Millis(6000), 8000, "alpha");
  cr_assert(keeps.judge.Violations().empty());
  keeps.Probe(kCalm + Millis(6001), 8000, "alpha");
  cr_assert_eq(keeps.judge.Violations().size(), 1U);
}

Test(config_judge, an_unstable_core_stretches_the_propagation_time) {
  Fixture keeps;
  keeps.judge.BeginDisturbance(Disturbed::kCoreMinority, "", kCalm);
  keeps.Probe(kCalm + Millis(14999), 8000, "alpha");
  cr_assert(keeps.judge.Violations().empty());
  keeps.Probe(kCalm + Millis(15000), 8000, "alpha");
  cr_assert_eq(keeps.judge.Violations().size(), 1U);
}

Test(config_judge, a_balancer_never_goes_back) {
  Fixture keeps;
  keeps.Probe(kCalm, 8000, "beta");
  keeps.Probe(kCalm + Millis(255), 8000, "alpha");
  cr_assert(keeps.judge.Violations().empty(), "within the slack");
  keeps.Probe(kCalm + Millis(256), 8000, "alpha");
  cr_assert_eq(keeps.judge.Violations().size(), 1U);
}

// Guards against a flow that a frozen balancer handled late being taken for
// evidence of a version that the balancer did not have yet.
Test(config_judge, a_late_result_is_no_evidence_of_a_newer_version) {
  Fixture keeps;
  keeps.judge.OnSent(kCalm, 3, "three", {{8000, "alpha"}}, true);
  keeps.judge.OnProbe(
      {"entry", 1, kCalm + Millis(10), kCalm + Millis(20), 8000, "beta"});
  keeps.judge.OnProbe(
      {"entry", 1, kCalm + Millis(5), kCalm + Millis(30), 8000, "alpha"});
  keeps.judge.OnProbe(
      {"entry", 1, kCalm + Millis(400), kCalm + Millis(410), 8000, "beta"});
  cr_assert(keeps.judge.Violations().empty());
}

Test(config_judge, a_new_incarnation_may_start_with_an_older_version) {
  Fixture keeps;
  keeps.Probe(kCalm, 8000, "beta");
  keeps.judge.OnProbe(
      {"entry", 2, kCalm + Millis(1000), kCalm + Millis(1001), 8000, "alpha"});
  cr_assert(keeps.judge.Violations().empty());
}

Test(config_judge, reads_are_not_older_than_acknowledged) {
  Fixture keeps;
  keeps.judge.OnRead(kCalm + Millis(2999), "core", "one");
  keeps.judge.OnRead(kCalm + Millis(3000), "core", "two");
  cr_assert(keeps.judge.Violations().empty());
  keeps.judge.OnRead(kCalm + Millis(3000), "core", "one");
  cr_assert_eq(keeps.judge.Violations().size(), 1U);
  keeps.judge.OnRead(kCalm, "core", "other");
  cr_assert_eq(keeps.judge.Violations().size(), 2U, "never sent");
}

Test(config_judge, invalid_configurations_are_neither_accepted_nor_in_force) {
  Fixture breaks;
  breaks.judge.OnSent(kCalm, 3, "three", {{8000, "gamma"}}, false);
  breaks.judge.OnAnswered(kCalm, 3, 400, "");
  cr_assert(breaks.judge.Violations().empty());
  breaks.Probe(kCalm + Millis(1), 8000, "gamma");
  cr_assert_eq(breaks.judge.Violations().size(), 1U);
  breaks.judge.OnAnswered(kCalm, 3, 200, "");
  cr_assert_eq(breaks.judge.Violations().size(), 2U);
  breaks.judge.OnRead(kCalm, "core", "three");
  cr_assert_eq(breaks.judge.Violations().size(), 3U);
}

Test(config_judge, an_accepted_order_is_never_refused) {
  Fixture breaks;
  breaks.judge.OnAnswered(kCalm, 1, 200, "");
  cr_assert(breaks.judge.Violations().empty());
  breaks.judge.OnAnswered(kCalm, 1, 409, "conflict");
  cr_assert_eq(breaks.judge.Violations().size(), 1U);
}

Test(config_judge, an_order_is_acknowledged_while_the_core_is_stable) {
  Fixture keeps;
  keeps.judge.OnSent(kCalm, 3, "three", {}, true);
  const size_t number =
      keeps.judge.BeginDisturbance(Disturbed::kCoreMinority, "", kCalm);
  keeps.judge.EndDisturbance(number, kCalm + Millis(1000));
  keeps.judge.OnAbandoned(kCalm + Millis(10000), 3);
  cr_assert(keeps.judge.Violations().empty());
  keeps.judge.OnAbandoned(kCalm + Millis(10001), 3);
  cr_assert_eq(keeps.judge.Violations().size(), 1U);
}

Test(config_judge, the_configuration_is_read_back_at_the_end) {
  Fixture keeps;
  const std::string newest = "two";
  keeps.judge.OnFinalRead(kCalm + Millis(3000), &newest);
  cr_assert(keeps.judge.Violations().empty());
  keeps.judge.OnFinalRead(kCalm + Millis(3000), nullptr);
  cr_assert_eq(keeps.judge.Violations().size(), 1U);
}

}  // namespace
}  // namespace cornelhill::soak
