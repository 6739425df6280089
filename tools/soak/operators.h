#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/random.h"
#include "tools/soak/config_judge.h"
#include "tools/soak/configurations.h"
#include "tools/soak/http_call.h"

namespace cornelhill::soak {

// Addresses at which operators and readers find the core members. Thread-safe.
class CoreList {
 public:
  void Set(std::vector<Endpoint> addresses);
  std::vector<Endpoint> Get() const;

 private:
  mutable std::mutex mutex;
  std::vector<Endpoint> addresses;
};

// What operators do with the core, and what the judge hears of it. All methods
// are thread-safe; each call uses the generator of its own thread.
class Operators {
 public:
  // `on_acknowledged` is called with the address that acknowledged an order.
  Operators(const CoreList& cores, ConfigJudge& judge,
            std::function<void(const Endpoint&)> on_acknowledged);

  // Sends the order, from a random member on, until it has a clear response.
  // With probability `lost` an acknowledgement is lost, and the order is sent
  // again. Gives up after `limit`.
  bool Order(const Configuration& configuration, double lost, Millis limit,
             Random& random);

  // Reads the configuration once at a random member.
  void Read(Random& random);

  // Reads the configuration until it comes, for at most `limit`.
  void ReadAtTheEnd(Millis limit, Random& random);

  void Stop() { this->stopping = true; }

 private:
  // Calls a member and follows redirects twice. `answered_by` gets the address
  // of the last response.
  HttpReply Call(Endpoint to, const std::string& method,
                 const std::string& body, Endpoint* answered_by) const;

  const CoreList& cores;
  ConfigJudge& judge;
  std::function<void(const Endpoint&)> on_acknowledged;
  std::atomic<bool> stopping = false;
};

}  // namespace cornelhill::soak
