#pragma once

namespace cornelhill {

// Makes the overload set of several lambdas.
template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace cornelhill
