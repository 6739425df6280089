#include "config/unique_services.h"

#include <map>

namespace cornelhill {

Result<void> CheckUnique(const std::vector<ServiceDeclaration>& services,
                         const Json& document, const std::string& file) {
  std::map<std::string, size_t> names;
  std::map<Endpoint, size_t> addresses;
  std::map<std::string, size_t> applications;
  const auto repeated = [&](size_t index, const char* field, size_t first) {
    return FieldError(
        file, document, {"services", std::to_string(index), field},
        std::string("a value of its own, since ") +
            ToString(document, {"services", std::to_string(first), field}) +
            " has it");
  };
  for (size_t i = 0; i < services.size(); ++i) {
    const ServiceDeclaration& service = services[i];
    if (const auto [at, added] = names.emplace(service.name, i); !added) {
      return repeated(i, "name", at->second);
    }
    if (const auto [at, added] = addresses.emplace(service.address, i);
        !added) {
      return repeated(i, "address", at->second);
    }
    if (const auto [at, added] = applications.emplace(service.application, i);
        !added) {
      return repeated(i, "application", at->second);
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace cornelhill
