#pragma once

#include <map>
#include <string>

namespace cornelhill::naive {

// Reference model of the replicated register map: a single copy in one process.
class SingleCopyRegisters {
 public:
  void Put(const std::string& key, const std::string& value) {
    this->values[key] = value;
  }

  const std::map<std::string, std::string>& Values() const {
    return this->values;
  }

 private:
  std::map<std::string, std::string> values;
};

}  // namespace cornelhill::naive
