#include "tools/soak/operators.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "tests/platform/stand_in/messages.h"

namespace cornelhill::soak {

namespace {

constexpr Millis kCallTimeout{1000};
constexpr int kMaxRedirects = 2;
constexpr int64_t kFirstBackoffMs = 50;
constexpr int64_t kMaxBackoffMs = 400;

void Sleep(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool EndsAnOrder(uint32_t status) {
  return status / 100 == 2 || status == 400 || status == 409 || status == 412 ||
         status == 413 || status == 422;
}

}  // namespace

void CoreList::Set(std::vector<Endpoint> next) {
  const std::lock_guard lock(this->mutex);
  this->addresses = std::move(next);
}

std::vector<Endpoint> CoreList::Get() const {
  const std::lock_guard lock(this->mutex);
  return this->addresses;
}

Operators::Operators(const CoreList& cores, ConfigJudge& judge,
                     std::function<void(const Endpoint&)> on_acknowledged)
    : cores(cores), judge(judge), on_acknowledged(std::move(on_acknowledged)) {}

HttpReply Operators::Call(Endpoint to, const std::string& method,
                          const std::string& body,
                          Endpoint* answered_by) const {
  constexpr std::string_view kScheme = "http://";
  HttpReply reply;
  for (int hop = 0; hop <= kMaxRedirects; ++hop) {
    *answered_by = to;
    reply = HttpCall(to, method, platform_stand_in::ConfigTarget(), body,
                     kCallTimeout);
    if (reply.status != 307 || !reply.location.starts_with(kScheme)) break;
    const size_t end = reply.location.find('/', kScheme.size());
    const Result<Endpoint> next = ParseEndpoint(
        reply.location.substr(kScheme.size(), end - kScheme.size()));
    if (!next.has_value()) break;
    to = next.value();
  }
  return reply;
}

bool Operators::Order(const Configuration& configuration, double lost,
                      Millis limit, Random& random) {
  const Millis started = MonotonicNow();
  this->judge.OnSent(started, configuration.version, configuration.document,
                     configuration.routes, configuration.valid);
  int64_t backoff = kFirstBackoffMs;
  size_t turn = random.Below(64);
  while (!this->stopping) {
    const std::vector<Endpoint> members = this->cores.Get();
    Endpoint answered_by;
    const HttpReply reply = this->Call(members[turn++ % members.size()], "PUT",
                                       configuration.document, &answered_by);
    if (EndsAnOrder(reply.status)) {
      const bool accepted = reply.status / 100 == 2;
      if (!accepted || !random.Chance(lost)) {
        this->judge.OnAnswered(MonotonicNow(), configuration.version,
                               reply.status, reply.body);
        if (accepted) this->on_acknowledged(answered_by);
        return accepted;
      }
    }
    if (MonotonicNow() - started > limit) {
      this->judge.OnAbandoned(MonotonicNow(), configuration.version);
      return false;
    }
    Sleep(backoff);
    backoff = std::min(backoff * 2, kMaxBackoffMs);
  }
  return false;
}

void Operators::Read(Random& random) {
  const std::vector<Endpoint> members = this->cores.Get();
  const Millis sent = MonotonicNow();
  Endpoint answered_by;
  const HttpReply reply = this->Call(members[random.Below(members.size())],
                                     "GET", {}, &answered_by);
  if (reply.status == 200) {
    this->judge.OnRead(sent, ToString(answered_by), reply.body);
  }
}

void Operators::ReadAtTheEnd(Millis limit, Random& random) {
  const Millis until = MonotonicNow() + limit;
  while (MonotonicNow() < until) {
    const std::vector<Endpoint> members = this->cores.Get();
    Endpoint answered_by;
    const Millis sent = MonotonicNow();
    const HttpReply reply = this->Call(members[random.Below(members.size())],
                                       "GET", {}, &answered_by);
    if (reply.status == 200) {
      this->judge.OnFinalRead(sent, &reply.body);
      return;
    }
    Sleep(kMaxBackoffMs);
  }
  this->judge.OnFinalRead(MonotonicNow(), nullptr);
}

}  // namespace cornelhill::soak
