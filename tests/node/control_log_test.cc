#include "cornelhill/node/control_log.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "cornelhill/base/process_signals.h"

namespace cornelhill {
namespace {

constexpr Millis kNow(10000);

Command MakeCommand(uint64_t version) {
  return {std::to_string(version), "operator", PutListeners{version, "{}"}};
}

// Guards against operators that get no response: a member whose disk is full
// keeps its role until its log is opened again, up to 500 ms later, and neither
// carried out nor refused what it was asked in between.
Test(control_log, a_halted_log_refuses_at_once) {
  IgnoreWriteSignals();
  std::string name =
      std::filesystem::temp_directory_path() / "control_logXXXXXX";
  cr_assert_not_null(mkdtemp(name.data()));
  cr_assert(ControlLog::Bootstrap(name + "/data", "1.2.3.4:1#a#1").has_value());
  std::string halted;
  ControlLog::Handlers handlers{
      [](const ConsensusMessage&) {}, [](const Command&, const auto&) {},
      [](const RoleChange&) {},
      [&halted](const std::string& reason) { halted = reason; }};
  auto log = std::move(
      ControlLog::Open(name + "/data", Millis(0), 1, handlers).value());
  log->Tick(kNow);
  cr_assert(log->Status(kNow).role == ReplicaRole::kLeader);

  const rlimit full{0, RLIM_INFINITY};
  cr_assert_eq(setrlimit(RLIMIT_FSIZE, &full), 0);
  int refused = 0;
  const auto count_refusal =
      [&refused](const Result<CommandResponse>& response) {
        if (response.has_error()) ++refused;
      };
  log->Propose(kNow, MakeCommand(1), count_refusal);
  cr_assert_eq(refused, 1, "by the failed write");
  cr_assert_neq(halted, "");
  log->Propose(kNow, MakeCommand(2), count_refusal);
  cr_assert_eq(refused, 2);
  bool unconfirmed = false;
  log->ConfirmLeadership(kNow, [&](std::optional<Millis> started) {
    unconfirmed = !started.has_value();
  });
  cr_assert(unconfirmed);
  std::filesystem::remove_all(name);
}

}  // namespace
}  // namespace cornelhill
