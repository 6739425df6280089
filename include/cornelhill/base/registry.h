#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cornelhill {

// Maps names to the plug-in factories of one type. A plug-in registers itself
// through a namespace-scope `Registration` object in its source file.
// Registration runs before `main`; lookups after that are thread-safe.
template <typename Factory>
class Registry {
 public:
  static Registry& Global() {
    static Registry registry;
    return registry;
  }

  // Requires that `name` is not yet registered. Not thread-safe.
  void Add(std::string name, Factory factory) {
    this->factories.emplace(std::move(name), std::move(factory));
  }

  // Returns null if no plug-in has that name.
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

// Registers a plug-in during static initialization.
template <typename Factory>
struct Registration {
  Registration(std::string name, Factory factory) {
    Registry<Factory>::Global().Add(std::move(name), std::move(factory));
  }
};

}  // namespace cornelhill
