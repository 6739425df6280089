#include "cornelhill/segment/segment.h"

#include "cornelhill/base/hash.h"

namespace cornelhill {

ServiceKey ServiceKeyOf(std::string_view name) {
  return ServiceKey(Hash64(name));
}

}  // namespace cornelhill
