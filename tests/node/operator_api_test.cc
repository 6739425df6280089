#include "cornelhill/node/operator_api.h"

#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace cornelhill {
namespace {

ApiRequest ReadAsPut(const HttpRequest& request) {
  return ListenerPut{1, request.body};
}

std::string ErrorText(const std::string& message) { return message; }

// A core member that leads a group of one.
class Fixture {
 public:
  explicit Fixture(size_t tolerated_failures) {
    std::string name =
        std::filesystem::temp_directory_path() / "operator_apiXXXXXX";
    cr_assert_not_null(mkdtemp(name.data()));
    this->directory = name;
    this->settings.tolerated_failures = tolerated_failures;
    this->settings.operators = Endpoint{0x7f000001, 1};
    this->formats.api = {&ReadAsPut, &ErrorText};
    cr_assert(
        ControlLog::Bootstrap(name + "/data", "1.2.3.4:1#a#1").has_value());
    ControlLog::Handlers handlers{
        [](const ConsensusMessage&) {}, [](const Command&, const auto&) {},
        [](const RoleChange&) {}, [](const std::string&) {}};
    this->log = std::move(
        ControlLog::Open(name + "/data", Millis(0), 1, handlers).value());
    for (Millis now(0); !this->Leads(); now += Millis(100)) {
      this->log->Tick(now);
    }
    this->api = std::make_unique<OperatorApi>(
        this->settings, this->formats, this->metrics,
        OperatorApi::Core{[this] { return this->log.get(); },
                          [this] { return this->Leads(); }, [] {},
                          [] { return std::vector<std::string>(); }},
        1);
  }
  ~Fixture() { std::filesystem::remove_all(this->directory); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  HttpResponse Put() {
    HttpResponse out;
    this->api->OnRequest(
        {"PUT", "/", "{}"},
        [&out](const HttpResponse& response) { out = response; });
    return out;
  }

  ControlLog& Log() { return *this->log; }

 private:
  bool Leads() const {
    return this->log->Status(Millis(0)).role == ReplicaRole::kLeader;
  }

  std::string directory;
  NodeSettings settings;
  PlatformFormats formats;
  boost::asio::io_context io;
  NodeMetrics metrics{this->io, "core"};
  std::unique_ptr<ControlLog> log;
  std::unique_ptr<OperatorApi> api;
};

// Guards against an acknowledged configuration that is lost with one disk: the
// first one was acknowledged by a group of a single member.
Test(operator_api, a_group_without_enough_voters_acknowledges_nothing) {
  Fixture fixture(1);
  const HttpResponse response = fixture.Put();
  cr_assert_eq(response.status, 503U);
  cr_assert_eq(response.body, "the group has 1 of 3 voters");
  cr_assert_eq(fixture.Log().State().Listeners().version, 0U);
}

// Fails if a deployment that tolerates no loss cannot be configured.
Test(operator_api, one_member_is_enough_without_failures_to_tolerate) {
  Fixture fixture(0);
  cr_assert_eq(fixture.Put().status, 200U);
  cr_assert_eq(fixture.Log().State().Listeners().version, 1U);
}

}  // namespace
}  // namespace cornelhill
