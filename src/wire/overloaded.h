#pragma once

namespace cornelhill {

// An overload set of lambdas, for use with `std::visit`.
template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace cornelhill
