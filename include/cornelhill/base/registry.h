#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cornelhill {

// The named plug-ins of one kind. A plug-in registers itself by a namespace-
// scope `Registration` in its source file. Registration runs before `main`;
// look-ups afterwards are thread-safe.
template <typename Factory>
class Registry {
 public:
  static Registry& Global() {
    static Registry registry;
    return registry;
  }

  // Requires that `name` is not registered yet.
  void Add(std::string name, Factory factory) {
    this->factories.emplace(std::move(name), std::move(factory));
  }

  // Returns null where no plug-in has that name.
  const Factory* Find(const std::string& name) const {
    const auto found = this->factories.find(name);
    return found == this->factories.end() ? nullptr : &found->second;
  }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : this->factories) names.push_back(name);
    return names;
  }

 private:
  std::map<std::string, Factory> factories;
};

// Registers a plug-in at static initialisation.
template <typename Factory>
struct Registration {
  Registration(std::string name, Factory factory) {
    Registry<Factory>::Global().Add(std::move(name), std::move(factory));
  }
};

}  // namespace cornelhill
