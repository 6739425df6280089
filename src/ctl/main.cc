#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

#include "cornelhill/base/hash.h"
#include "cornelhill/config/declaration_json.h"
#include "cornelhill/daemon/operator_client.h"
#include "tools/common/net.h"

ABSL_FLAG(std::string, control, "",
          "addresses of the control instances, IPV4:PORT,IPV4:PORT...");
ABSL_FLAG(bool, wait, false, "wait until the change is in effect");
ABSL_FLAG(std::string, output, "table", "table or json");

namespace cornelhill {
namespace {

constexpr Millis kTimeout(10000);

int Print(const Result<OperatorResponse>& response) {
  if (!response.has_value()) {
    std::cerr << "cornelhillctl: " << response.error().message << "\n";
    return 1;
  }
  std::cout << "revision " << response.value().revision.Value() << "\n";
  for (const UpstreamInfo& upstream : response.value().upstreams) {
    std::cout << "\"instance\" " << upstream.instance.Value() << " "
              << ToString(upstream.agent) << "\n";
  }
  return response.value().outcome == OperatorOutcome::kOk ? 0 : 1;
}

int Run(const std::vector<std::string>& arguments) {
  if (arguments.empty()) return 2;
  OperatorClient client(
      ParseEndpointsOrExit("control", absl::GetFlag(FLAGS_control)));
  if (const auto started = client.Start(); !started.has_value()) return 1;
  OperatorRequest request;
  request.request_id = NewRequestId();
  request.operator_name = "operator";
  if (arguments[0] == "upstreams") {
    request.kind = OperatorRequestKind::kUpstreams;
  } else if (arguments[0] == "drain") {
    request.kind = OperatorRequestKind::kDrain;
    request.instance = InstanceId(Hash64(arguments.at(1)));
  } else if (arguments[0] == "apply") {
    const auto declaration = LoadDeclaration(arguments.at(1));
    if (!declaration.has_value()) {
      std::cerr << declaration.error().message << "\n";
      return 2;
    }
    OperatorRequest ask = request;
    ask.kind = OperatorRequestKind::kDeclaration;
    const auto present = client.Ask(ask, kTimeout);
    if (!present.has_value()) return Print(present);
    request.request_id = NewRequestId();
    request.kind = OperatorRequestKind::kApply;
    request.base = present.value().declaration_revision;
    request.declaration = declaration.value();
  }
  return Print(client.Ask(request, kTimeout));
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("cornelhillctl SUBCOMMAND");
  std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  return cornelhill::Run({rest.begin() + 1, rest.end()});
}
