#include <criterion/criterion.h>

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/control_state.h"
#include "cornelhill/control/operator_session.h"
#include "cornelhill/control/spread_node.h"
#include "tests/control/golden.h"
#include "tests/control/spread_cluster.h"

namespace cornelhill {
namespace {

// A control instance that answers operator requests synchronously. It is a
// confirmed leader unless a test changes that.
class FakeControlInstance {
 public:
  OperatorResponse Answer(const OperatorRequest& request) {
    OperatorContext context;
    context.state = &this->state;
    context.term = 1;
    context.leading = this->leading;
    context.confirmed = this->confirmed;
    context.leader = Endpoint{0x7f000003, 7000};
    if (const auto refusal = RefuseUnlessConfirmedLeader(context, request)) {
      return *refusal;
    }
    const auto command = ToCommand(request);
    if (!command) return AnswerRead(context, request);
    const Revision next(this->state.CurrentRevision().Value() + 1);
    const CommandResponse response = this->state.Apply(next, *command);
    return AnswerCommand(context, request, response);
  }

  ControlState state;
  bool leading = true;
  bool confirmed = true;
};

Declaration TwoServices(uint32_t max_queued) {
  ServiceDeclaration aula;
  aula.name = "aula";
  aula.address = {0x7f000a01, 80};
  aula.application = "aula-app";
  aula.rules.max_queued = max_queued;
  ServiceDeclaration registro = aula;
  registro.name = "registro";
  registro.address.port = 81;
  registro.application = "registro-app";
  return {{aula, registro}};
}

std::string FormatLine(const std::string& who, const OperatorRequest& request) {
  return who + " sends kind=" + std::to_string(static_cast<int>(request.kind)) +
         " base=" + std::to_string(request.base.Value()) +
         " request=" + request.request_id + "\n";
}

std::string FormatLine(const std::string& who,
                       const OperatorResponse& response) {
  std::string line = who + " gets outcome=" +
                     std::to_string(static_cast<int>(response.outcome)) +
                     " revision=" + std::to_string(response.revision.Value()) +
                     " request=" + response.request_id;
  if (response.outcome == OperatorOutcome::kConflict) {
    line += " lost_to_revision=" +
            std::to_string(response.lost_to.revision.Value()) +
            " lost_to_operator=" + response.lost_to.operator_name +
            " lost_to_request=" + response.lost_to.request_id;
  }
  return line + "\n";
}

// Guards against a retry after a lost response that applies the change twice or
// conflicts with its own first attempt, and against a conflict response that
// does not name the change that was applied instead.
Test(session, two_operators_race) {
  std::string log;
  FakeControlInstance control;
  const std::vector<Endpoint> endpoints = {{0x7f000001, 7000}};
  OperatorSession ana("ana", endpoints, 1);
  OperatorSession bob("bob", endpoints, 2);
  Revision base;
  Millis now;
  for (uint32_t round = 1; round <= 3; ++round) {
    // Both operators edit the same base. The request that arrives first
    // alternates between them; its first response is lost in each round.
    OperatorSession& first = round % 2 == 1 ? ana : bob;
    OperatorSession& second = round % 2 == 1 ? bob : ana;
    const std::string first_name = round % 2 == 1 ? "ana" : "bob";
    const std::string second_name = round % 2 == 1 ? "bob" : "ana";
    const AddressedOperatorRequest first_request =
        first.Begin(now, ApplyRequest(base, TwoServices(round)));
    const AddressedOperatorRequest second_request =
        second.Begin(now, ApplyRequest(base, TwoServices(100 + round)));
    log += FormatLine(first_name, first_request.request);
    const OperatorResponse lost_response =
        control.Answer(first_request.request);
    log += "response to " + first_name + " is lost\n";
    log += FormatLine(second_name, second_request.request);
    const auto rejected =
        second.OnResponse(now, control.Answer(second_request.request));
    cr_assert(rejected.has_value());
    log += FormatLine(second_name, *rejected);
    now += Millis(3000);
    const auto retry = first.OnTick(now);
    cr_assert(retry.has_value() &&
              retry->request.request_id == first_request.request.request_id);
    log += FormatLine(first_name, retry->request);
    const auto accepted = first.OnResponse(now, control.Answer(retry->request));
    cr_assert(accepted.has_value() &&
              accepted->outcome == OperatorOutcome::kOk);
    cr_assert(accepted->revision == lost_response.revision);
    log += FormatLine(first_name, *accepted);
    base = accepted->revision;
  }
  const auto history =
      control.Answer(ana.Begin(now, HistoryRequest(10)).request);
  for (const HistoryEntry& entry : history.history) {
    log += "history revision=" + std::to_string(entry.change.revision.Value()) +
           " operator=" + entry.change.operator_name + " " + entry.summary +
           "\n";
  }
  cr_assert_eq(history.history.size(), 3);
  cr_assert(fake::MatchesGolden("two_operators.txt", log));
}

// Guards against two changes applied to the same base, and against a response
// that differs from the outcome in the log, while requests and responses are
// lost, duplicated and reordered and control restarts from its snapshot.
Test(session, at_most_one_winner_for_a_base_under_faults) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    fake::Faults faults;
    faults.loss = 0.2;
    faults.duplication = 0.1;
    fake::FakeQueue queue(seed, faults);
    Random random(seed);
    FakeControlInstance control;
    const InstanceId server(1);
    struct Operator {
      OperatorSession session;
      Revision base;
      bool reading = false;
    };
    std::vector<Operator> operators;
    for (uint64_t i = 0; i < 4; ++i) {
      operators.push_back(
          {OperatorSession("op" + std::to_string(i), {{0x7f000001, 7000}},
                           seed * 100 + i),
           Revision(), false});
    }
    std::map<Revision, std::string> winner_of;  // Request ID by base revision.
    Millis now;
    const auto send = [&](uint64_t i, const AddressedOperatorRequest& message) {
      queue.Send(now, InstanceId(10 + i), server,
                 Encode(ControlMessage(message.request)));
    };
    const auto begin = [&](uint64_t i) {
      Operator& current = operators[i];
      OperatorRequest request =
          current.reading
              ? DeclarationRequest()
              : ApplyRequest(
                    current.base,
                    TwoServices(static_cast<uint32_t>(1 + random.Below(1000))));
      send(i, current.session.Begin(now, request));
    };
    for (uint64_t i = 0; i < operators.size(); ++i) begin(i);
    for (; now < Millis(60000); now += Millis(1)) {
      if (random.Chance(0.001)) {
        Result<ControlState> restored =
            ControlState::Restore(control.state.Snapshot());
        cr_assert(restored.has_value());
        control.state = std::move(restored.value());
      }
      for (uint64_t i = 0; i < operators.size(); ++i) {
        const auto retry = operators[i].session.OnTick(now);
        if (retry) send(i, *retry);
      }
      while (queue.Next() && *queue.Next() <= now) {
        const fake::FakeQueue::Delivery delivery = queue.Pop();
        const Result<ControlMessage> message =
            DecodeControlMessage(delivery.bytes);
        cr_assert(message.has_value());
        if (delivery.to == server) {
          queue.Send(now, server, delivery.from,
                     Encode(ControlMessage(control.Answer(
                         std::get<OperatorRequest>(message.value())))));
          continue;
        }
        const uint64_t i = delivery.to.Value() - 10;
        Operator& current = operators[i];
        const auto response = current.session.OnResponse(
            now, std::get<OperatorResponse>(message.value()));
        if (!response) continue;
        if (current.reading) {
          current.base = response->declaration_revision;
        } else if (response->outcome == OperatorOutcome::kOk) {
          const auto [winner, first] =
              winner_of.emplace(current.base, response->request_id);
          cr_assert(first, "seed %lu base %lu has two winners", seed,
                    current.base.Value());
        } else {
          cr_assert(response->outcome == OperatorOutcome::kConflict);
          cr_assert(response->lost_to.request_id != response->request_id);
        }
        current.reading = !current.reading;
        begin(i);
      }
    }
    cr_assert(winner_of.size() > 10, "seed %lu: %zu", seed, winner_of.size());
    for (const HistoryEntry& entry : control.state.History(1000)) {
      for (const auto& [base, id] : winner_of) {
        if (id == entry.change.request_id) {
          cr_assert(base < entry.change.revision);
        }
      }
    }
  }
}

// Guards against an operator's tool that accepts a response of an instance that
// does not lead or cannot confirm that it does, and against one that gives up
// after such a response.
Test(session, tool_follows_the_leader_and_waits_for_confirmation) {
  FakeControlInstance control;
  OperatorSession session("ana", {{0x7f000001, 7000}, {0x7f000002, 7000}}, 1);
  const AddressedOperatorRequest first =
      session.Begin(Millis(0), StatusRequest());
  control.leading = false;
  cr_assert(!session.OnResponse(Millis(1), control.Answer(first.request)));
  const auto redirected = session.OnTick(Millis(1));
  cr_assert(redirected && redirected->to == (Endpoint{0x7f000003, 7000}));
  control.leading = true;
  control.confirmed = false;
  cr_assert(!session.OnResponse(Millis(2), control.Answer(first.request)));
  cr_assert(!session.OnTick(Millis(3)));
  const auto elsewhere = session.OnTick(Millis(5000));
  cr_assert(elsewhere && elsewhere->to == (Endpoint{0x7f000002, 7000}));
  control.confirmed = true;
  cr_assert(session.OnResponse(Millis(5001), control.Answer(first.request)));
}

// Guards against a diff that omits an added, removed or changed service.
Test(session, diff_names_every_difference) {
  Declaration before = TwoServices(1);
  Declaration after = TwoServices(2);
  after.services.erase(after.services.begin() + 1);
  ServiceDeclaration added = after.services[0];
  added.name = "ingest";
  after.services.push_back(added);
  cr_assert(ListServiceChanges(before, after) ==
            (std::vector<std::string>{"~aula", "+ingest", "-registro"}));
}

// Runs one daemon below a root: the daemon catches up, is disconnected for
// `missed` changes and reconnects. Returns a log of the messages.
std::string CatchUpSession(int missed) {
  std::ostringstream log;
  ControlState state;
  uint64_t revision = 0;
  state.Apply(Revision(++revision),
              {"d", "ana", PutDeclaration{{}, fake::SampleDeclaration(0)}});
  for (uint64_t i = 0; i < 200; ++i) {
    state.Apply(Revision(++revision),
                {"j" + std::to_string(i), "",
                 UpstreamJoin{fake::SampleAnnouncement(1000 + i, 1)}});
  }
  SpreadMember root_member{InstanceId(1), {0x7f000001, 1}, 0, {}, true};
  SpreadMember member{InstanceId(9), {0x7f000001, 9}, 0, {}, false};
  SpreadNode root(Millis(0), root_member, {true, {}, {}}, 1);
  SpreadNode daemon(Millis(0), member,
                    {false, {"service101", "service102"}, {}}, 2);
  daemon.SetMembers(Millis(0), {root_member});
  Millis now(1000);
  const auto exchange = [&] {
    (void)root.Publish(now, 1, state.Store(), now);
    now = daemon.NextTick() > now ? daemon.NextTick() : now + Millis(1);
    for (const Outgoing& digest : daemon.OnTick(now)) {
      const auto& sent = std::get<SpreadDigest>(digest.message);
      log << "digest revision=" << sent.revision.Value()
          << " term=" << sent.term
          << " subscription=" << (sent.has_subscription ? "sent" : "known")
          << " bytes=" << Encode(digest.message).size() << "\n";
      for (const Outgoing& reply :
           root.OnMessage(now, member.endpoint, digest.message)) {
        const auto& update = std::get<SpreadUpdate>(reply.message);
        log << "update status=" << static_cast<int>(update.status)
            << " from=" << update.update.from.Value()
            << " revision=" << update.update.revision.Value()
            << " whole=" << update.update.whole
            << " services=" << update.update.services.size()
            << " bytes=" << Encode(reply.message).size() << "\n";
        (void)daemon.OnMessage(now + Millis(4), root_member.endpoint,
                               reply.message);
      }
      log << "in effect revision=" << daemon.EffectRevision().Value() << "\n";
    }
  };
  exchange();
  exchange();
  log << "cut off for " << missed << " changes\n";
  for (int i = 0; i < missed; ++i) {
    state.Apply(Revision(++revision),
                {"c" + std::to_string(i), "ana",
                 UpstreamWeight{InstanceId(1000 + i % 200),
                                static_cast<uint32_t>(1 + i)}});
  }
  now += Millis(60000);
  exchange();
  exchange();
  return log.str();
}

// Guards against a daemon that reconnects after 500 changes and receives more
// than the services it subscribes to, or more than one update.
Test(session, daemon_catches_up_after_500_changes) {
  cr_assert(fake::MatchesGolden("back_after_500.txt", CatchUpSession(500)));
}

// Guards against a delta update over a revision range whose removals are no
// longer stored.
Test(session, daemon_catches_up_after_1100_changes) {
  cr_assert(fake::MatchesGolden("back_after_1100.txt", CatchUpSession(1100)));
}

}  // namespace
}  // namespace cornelhill
