#pragma once

#include <map>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"

namespace cornelhill {

// Tells the first seed of a deployment whether it may found the group without
// the setting that says so: it may have been restarted before it wrote
// anything. Not thread-safe.
class FoundingAgreement {
 public:
  // The core member at `address` takes part in the first start of the
  // deployment and was never a member of a group.
  void Note(Millis now, const Endpoint& address);

  // Whether all of `others`, at least one, have said so recently.
  bool AllAgree(Millis now, const std::vector<Endpoint>& others) const;

 private:
  std::map<Endpoint, Millis> last_noted;
};

}  // namespace cornelhill
