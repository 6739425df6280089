#pragma once

#include <string>
#include <vector>

#include "config/schema_checker.h"
#include "cornelhill/config/declaration.h"

namespace cornelhill {

// Refuses two services with one name, address or application, which would send
// packets of one to the upstreams of the other. Addresses are compared without
// the protocol, and as parsed, since port 07001 is port 7001. Requires that
// `services` are in the order of the list "services" of `document`.
Result<void> CheckUnique(const std::vector<ServiceDeclaration>& services,
                         const Json& document, const std::string& file);

}  // namespace cornelhill
