#include "cornelhill/ctl/control_request.h"

#include <absl/flags/flag.h>

#include <sstream>
#include <string>
#include <vector>

#include "cornelhill/daemon/operator_client.h"

ABSL_FLAG(std::string, control, "",
          "Addresses of the control instances: IPV4:PORT,IPV4:PORT...");

namespace cornelhill {

namespace {

constexpr Millis kTimeout(10000);

Result<std::vector<Endpoint>> ControlAddresses() {
  std::vector<Endpoint> addresses;
  std::istringstream list(absl::GetFlag(FLAGS_control));
  for (std::string item; std::getline(list, item, ',');) {
    BOOST_OUTCOME_TRY(address, ParseEndpoint(item));
    addresses.push_back(address);
  }
  if (addresses.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "--control: missing; expected IPV4:PORT,IPV4:PORT...");
  }
  return addresses;
}

ErrorCode CodeOf(OperatorOutcome outcome) {
  switch (outcome) {
    case OperatorOutcome::kConflict:
      return ErrorCode::kConflict;
    case OperatorOutcome::kNotFound:
      return ErrorCode::kNotFound;
    case OperatorOutcome::kNotLeader:
    case OperatorOutcome::kCannotConfirm:
      return ErrorCode::kUnavailable;
    default:
      return ErrorCode::kInvalidArgument;
  }
}

}  // namespace

Result<OperatorResponse> AskControl(OperatorRequest request) {
  BOOST_OUTCOME_TRY(addresses, ControlAddresses());
  OperatorClient client(std::move(addresses));
  BOOST_OUTCOME_TRY(client.Start());
  request.request_id = NewRequestId();
  request.operator_name = "operator";
  BOOST_OUTCOME_TRY(response, client.Ask(request, kTimeout));
  if (response.outcome != OperatorOutcome::kOk &&
      response.outcome != OperatorOutcome::kUnchanged) {
    return Fail(CodeOf(response.outcome), response.message);
  }
  return std::move(response);
}

}  // namespace cornelhill
