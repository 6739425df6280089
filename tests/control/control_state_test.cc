#include "cornelhill/control/control_state.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "cornelhill/base/random.h"
#include "tests/naive/single_copy_control.h"

namespace cornelhill {
namespace {

ServiceDeclaration MakeService(const std::string& name, uint16_t port) {
  ServiceDeclaration service;
  service.name = name;
  service.address = {0x7f000a01, port};
  service.application = name + "-app";
  return service;
}

Announcement MakeAnnouncement(uint64_t instance, uint64_t incarnation,
                              const std::string& application) {
  Announcement announcement;
  announcement.instance = InstanceId(instance);
  announcement.incarnation = Incarnation(incarnation);
  announcement.application = application;
  announcement.agent = {0x7f000101, static_cast<uint16_t>(instance)};
  announcement.slots = 2;
  return announcement;
}

Command MakePutDeclaration(const std::string& id,
                           const std::string& operator_name, uint64_t base,
                           std::vector<ServiceDeclaration> services) {
  return {id, operator_name,
          PutDeclaration{Revision(base), {std::move(services)}}};
}

// Returns a random command; a quarter of them repeat an earlier request.
Command RandomCommand(Random* random, Revision last_base,
                      std::vector<Command>* sent) {
  if (!sent->empty() && random->Chance(0.25)) {
    return (*sent)[random->Below(sent->size())];
  }
  const std::string id = "r" + std::to_string(sent->size());
  const uint64_t instance = 1 + random->Below(12);
  const std::string application =
      "s" + std::to_string(random->Below(4)) + "-app";
  Command command{id, "ana", {}};
  switch (random->Below(5)) {
    case 0: {
      std::vector<ServiceDeclaration> services;
      for (int i = 0; i < 4; ++i) {
        if (random->Chance(0.2)) continue;
        services.push_back(MakeService("s" + std::to_string(i),
                                       static_cast<uint16_t>(80 + i)));
        if (random->Chance(0.1)) services.back().address.port = 99;
        if (random->Chance(0.2)) services.back().rules.max_queued = 7;
        if (random->Chance(0.1)) services.back().application = "s0-app";
      }
      const uint64_t base = random->Chance(0.6)
                                ? last_base.Value()
                                : random->Below(last_base.Value() + 1);
      command.body = PutDeclaration{Revision(base), {services}};
      break;
    }
    case 1:
    case 2: {
      command.operator_name = "";
      Announcement announcement =
          MakeAnnouncement(instance, 1 + random->Below(20), application);
      announcement.slots = 1 + static_cast<uint32_t>(random->Below(3));
      command.body = UpstreamJoin{announcement};
      break;
    }
    case 3:
      command.operator_name = "";
      if (random->Chance(0.3)) {
        command.body =
            ForgetLost{InstanceId(instance), Incarnation(random->Below(20))};
        break;
      }
      command.body =
          UpstreamLeave{InstanceId(instance), Incarnation(random->Below(20)),
                        random->Chance(0.5)};
      break;
    default:
      if (random->Chance(0.5)) {
        command.body = UpstreamDrain{InstanceId(instance), random->Chance(0.5)};
      } else {
        command.body = UpstreamWeight{InstanceId(instance),
                                      static_cast<uint32_t>(random->Below(3))};
      }
  }
  sent->push_back(command);
  return command;
}

// Guards against a state machine that deviates from the single-copy reference:
// in which of two conflicting changes is applied, the response to a retry, a
// view or its revision, or reuse of service ids; also after a snapshot and
// restore at any point.
Test(control_state, matches_single_copy_reference) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    ControlState state;
    naive::SingleCopyControl reference;
    std::vector<Command> sent;
    for (uint64_t i = 1; i <= 600; ++i) {
      const Revision revision(i);
      const Command command =
          RandomCommand(&random, state.DeclarationChange().revision, &sent);
      const CommandResponse got = state.Apply(revision, command);
      const CommandResponse want = reference.Apply(revision, command);
      cr_assert(got.outcome == want.outcome && got.revision == want.revision &&
                    got.lost_to == want.lost_to,
                "seed %lu revision %lu: outcome %d, reference %d", seed, i,
                static_cast<int>(got.outcome), static_cast<int>(want.outcome));
      cr_assert_eq(state.Store().Views().size(), reference.Views().size());
      for (const auto& [name, view] : reference.Views()) {
        const ServiceView* found = state.ViewOf(view.id);
        cr_assert(found != nullptr && *found == view,
                  "seed %lu revision %lu service %s", seed, i, name.c_str());
      }
      if (random.Chance(0.02)) {
        Result<ControlState> restored = ControlState::Restore(state.Snapshot());
        cr_assert(restored.has_value());
        cr_assert(restored.value().Snapshot() == state.Snapshot());
        state = std::move(restored.value());
      }
    }
  }
}

// Guards against two changes applied on the same base, and against a conflict
// response without the revision, operator and request of the change in effect.
Test(control_state, only_one_change_per_base_is_applied) {
  ControlState state;
  cr_assert(state
                .Apply(Revision(1), MakePutDeclaration("a1", "ana", 0,
                                                       {MakeService("x", 1)}))
                .outcome == CommandOutcome::kApplied);
  cr_assert(state
                .Apply(Revision(2), MakePutDeclaration("a2", "ana", 1,
                                                       {MakeService("x", 2)}))
                .outcome == CommandOutcome::kApplied);
  const CommandResponse lost = state.Apply(
      Revision(3), MakePutDeclaration("b1", "bob", 1, {MakeService("x", 3)}));
  cr_assert(lost.outcome == CommandOutcome::kConflict);
  cr_assert(lost.lost_to == (ChangeRef{Revision(2), "ana", "a2"}));
  cr_assert(state.CurrentDeclaration().services[0].address.port == 2);
}

// Guards against a retry that is executed again, or gets a different response,
// after a snapshot; and against eviction of an operator's response when more
// agents restart than a response cache has entries.
Test(control_state, cached_response_survives_restore_and_mass_joins) {
  ControlState state;
  const Command put = MakePutDeclaration("a1", "ana", 0, {MakeService("x", 1)});
  const CommandResponse first = state.Apply(Revision(1), put);
  uint64_t revision = 1;
  for (uint64_t i = 0; i < 2 * kMaxCachedResponses; ++i) {
    state.Apply(Revision(++revision),
                {"j" + std::to_string(i), "",
                 UpstreamJoin{MakeAnnouncement(1 + i, 1,
                                               "x" + std::to_string(i % 64))}});
  }
  cr_assert(!state.ResponseOf("j0").has_value());
  cr_assert(
      state.ResponseOf("j" + std::to_string(kMaxCachedResponses)).has_value());
  Result<ControlState> restored = ControlState::Restore(state.Snapshot());
  cr_assert(restored.has_value());
  cr_assert(restored.value().Apply(Revision(revision + 1), put) == first);
}

// Guards against a restart of many agents that evicts operator changes from the
// history, and against a restore that reorders the history.
Test(control_state, history_keeps_operator_changes) {
  ControlState state;
  state.Apply(Revision(1),
              MakePutDeclaration("a1", "ana", 0, {MakeService("x", 1)}));
  for (uint64_t i = 2; i < 1000; ++i) {
    state.Apply(Revision(i),
                {std::to_string(i), "",
                 UpstreamJoin{MakeAnnouncement(1 + i % 7, i, "x-app")}});
  }
  const std::vector<HistoryEntry> history = state.History(1000);
  cr_assert_leq(history.size(), 256);
  cr_assert(history.front().change.revision == Revision(999));
  cr_assert(history.back().change == (ChangeRef{Revision(1), "ana", "a1"}));
  cr_assert(ControlState::Restore(state.Snapshot()).value().History(1000) ==
            history);
}

// Guards against packets of an earlier incarnation of a service or upstream
// that are attributed to the current one.
Test(control_state, ids_and_incarnations_are_not_reused) {
  ControlState state;
  state.Apply(Revision(1),
              MakePutDeclaration("1", "ana", 0, {MakeService("x", 1)}));
  const ServiceView first = *state.Store().FindByName("x");
  state.Apply(Revision(2),
              MakePutDeclaration("2", "ana", 1, {MakeService("x", 2)}));
  const ServiceView moved = *state.Store().FindByName("x");
  cr_assert(moved.id == first.id && moved.incarnation > first.incarnation);
  state.Apply(Revision(3), MakePutDeclaration("3", "ana", 2, {}));
  state.Apply(Revision(4),
              MakePutDeclaration("4", "ana", 3, {MakeService("x", 1)}));
  const ServiceView again = *state.Store().FindByName("x");
  cr_assert(again.id > first.id && again.incarnation > moved.incarnation);

  state.Apply(Revision(5),
              {"5", "", UpstreamJoin{MakeAnnouncement(9, 4, "x-app")}});
  state.Apply(Revision(6),
              {"6", "", UpstreamLeave{InstanceId(9), Incarnation(4)}});
  cr_assert(state
                .Apply(Revision(7),
                       {"7", "", UpstreamJoin{MakeAnnouncement(9, 4, "x-app")}})
                .outcome == CommandOutcome::kStaleIncarnation);
}

// Guards against an instance that serves two services at once (invariant 2).
Test(control_state, moved_instance_leaves_its_previous_service) {
  ControlState state;
  state.Apply(Revision(1),
              MakePutDeclaration("1", "ana", 0,
                                 {MakeService("x", 1), MakeService("y", 2)}));
  state.Apply(Revision(2),
              {"2", "", UpstreamJoin{MakeAnnouncement(9, 1, "x-app")}});
  state.Apply(Revision(3),
              {"3", "", UpstreamJoin{MakeAnnouncement(9, 2, "y-app")}});
  cr_assert(state.Store().FindByName("x")->upstreams.empty());
  cr_assert_eq(state.Store().FindByName("y")->upstreams.size(), 1);
}

// Guards against a crash on a corrupt snapshot.
Test(control_state, restore_survives_corrupt_bytes) {
  ControlState state;
  state.Apply(Revision(1),
              MakePutDeclaration("1", "ana", 0, {MakeService("x", 1)}));
  state.Apply(Revision(2),
              {"2", "", UpstreamJoin{MakeAnnouncement(9, 1, "x-app")}});
  const std::string valid = state.Snapshot();
  Random random(20261204);
  for (int round = 0; round < 500; ++round) {
    std::string bytes = valid;
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    if (random.Chance(0.3)) bytes.resize(random.Below(bytes.size()));
    (void)ControlState::Restore(bytes);
  }
}

// Guards against a view that omits a lost upstream: the agents that take over
// its buckets would then execute a resent request a second time. A planned
// leave is not listed as a loss.
Test(control_state, view_lists_lost_upstreams_until_they_are_forgotten) {
  ControlState state;
  state.Apply(Revision(1),
              MakePutDeclaration("r1", "ana", 0, {MakeService("aula", 7001)}));
  for (uint64_t instance = 1; instance <= 3; ++instance) {
    state.Apply(Revision(1 + instance),
                {"j" + std::to_string(instance),
                 {},
                 UpstreamJoin{MakeAnnouncement(instance, 5, "aula-app")}});
  }
  state.Apply(Revision(5),
              {"l1", {}, UpstreamLeave{InstanceId(1), Incarnation(5), true}});
  state.Apply(Revision(6),
              {"l2", {}, UpstreamLeave{InstanceId(2), Incarnation(5), false}});
  // A restart within the lease loses the flow state of the previous
  // incarnation.
  state.Apply(Revision(7),
              {"j4", {}, UpstreamJoin{MakeAnnouncement(3, 6, "aula-app")}});
  const std::vector<LostUpstream> expected = {{InstanceId(1), Incarnation(5)},
                                              {InstanceId(3), Incarnation(5)}};
  cr_assert(state.Store().FindByName("aula")->lost == expected);

  // The loss survives a snapshot, and its removal reaches a process in a delta.
  Result<ControlState> restored = ControlState::Restore(state.Snapshot());
  cr_assert(restored.has_value());
  cr_assert(restored.value().Store().FindByName("aula")->lost == expected);
  const Subscription all{true, {}, {}};
  ServiceStore replica;
  cr_assert(replica.Apply(state.Store().FullUpdate(all), all).has_value());
  state.Apply(Revision(8),
              {"f1", {}, ForgetLost{InstanceId(1), Incarnation(5)}});
  cr_assert(replica.Apply(state.Store().UpdateSince(Revision(7), all), all)
                .has_value());
  const std::vector<LostUpstream> remaining = {{InstanceId(3), Incarnation(5)}};
  cr_assert(replica.FindByName("aula")->lost == remaining);
}

}  // namespace
}  // namespace cornelhill
