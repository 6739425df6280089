#include "tools/soak/config_judge.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace cornelhill::soak {

namespace {

bool IsRefusal(uint32_t status) { return status >= 400 && status < 500; }

std::string VersionText(uint64_t version) {
  return "version " + std::to_string(version);
}

}  // namespace

void ConfigJudge::Report(Millis now, const std::string& what) {
  char time[32];
  std::snprintf(time, sizeof time, "%.3f ",
                static_cast<double>(now.Count()) / 1000);
  this->violations.push_back(time + what);
}

void ConfigJudge::OnSent(Millis now, uint64_t version,
                         const std::string& document, const Routes& routes,
                         bool valid) {
  const std::lock_guard lock(this->mutex);
  this->orders.try_emplace(version,
                           Order{document, routes, valid, now, std::nullopt});
}

void ConfigJudge::OnAnswered(Millis now, uint64_t version, uint32_t status,
                             const std::string& detail) {
  const std::lock_guard lock(this->mutex);
  Order& order = this->orders.at(version);
  if (status / 100 == 2) {
    if (!order.valid) {
      this->Report(
          now, "CONFIG: invalid " + VersionText(version) + " is acknowledged");
    }
    if (!order.acknowledged.has_value()) ++this->acknowledged;
    order.acknowledged = order.acknowledged.value_or(now);
  } else if (IsRefusal(status) && order.valid) {
    this->Report(now, "CONFIG: valid " + VersionText(version) +
                          " is refused with " + std::to_string(status) + ": " +
                          detail);
  }
}

void ConfigJudge::OnAbandoned(Millis now, uint64_t version) {
  const std::lock_guard lock(this->mutex);
  const Order& order = this->orders.at(version);
  const Millis limit = this->bounds.acknowledgement +
                       this->bounds.acknowledgement_per_route *
                           static_cast<int64_t>(order.routes.size());
  const Millis start = now - limit - this->bounds.stability_window;
  if (this->DisturbedBetween(Disturbed::kCoreMinority, {}, start, now) ||
      this->DisturbedBetween(Disturbed::kCoreMajority, {}, start, now)) {
    return;
  }
  this->Report(now, "Acks: " + VersionText(version) +
                        " is not acknowledged while the core is stable");
}

void ConfigJudge::OnRead(Millis sent, const std::string& machine,
                         const std::string& document) {
  const std::lock_guard lock(this->mutex);
  const auto found = std::find_if(this->orders.begin(), this->orders.end(),
                                  [&document](const auto& item) {
                                    return item.second.document == document;
                                  });
  if (found == this->orders.end()) {
    this->Report(sent, "CONFIG: " + machine +
                           " returns a configuration that was never sent");
    return;
  }
  if (!found->second.valid) {
    this->Report(sent, "CONFIG: " + machine + " returns invalid " +
                           VersionText(found->first));
  }
  const uint64_t required =
      this->AcknowledgedBy(sent - this->bounds.propagation);
  if (found->first < required) {
    this->Report(sent, "CONFIG: " + machine + " returns " +
                           VersionText(found->first) + "; " +
                           VersionText(required) + " was acknowledged");
  }
}

void ConfigJudge::OnProbe(const ProbeResult& probe) {
  const std::lock_guard lock(this->mutex);
  ++this->probes;
  const std::vector<uint64_t> versions = this->VersionsThatExplain(probe);
  if (versions.empty()) {
    this->Report(probe.sent,
                 "CONFIG: " + probe.balancer + " handles port " +
                     std::to_string(probe.port) +
                     " as no configuration says (" +
                     (probe.service.empty() ? "reset" : probe.service) + ")");
    return;
  }
  this->CheckAge(probe, versions.back());
  this->CheckRegress(probe, versions);
}

void ConfigJudge::CheckAge(const ProbeResult& probe, uint64_t newest) {
  const Millis window = this->bounds.stability_window;
  const Millis sent = probe.sent;
  if (this->DisturbedBetween(Disturbed::kBalancer, probe.balancer,
                             sent - window, probe.observed)) {
    return;
  }
  Millis bound = this->bounds.propagation;
  if (this->DisturbedBetween(Disturbed::kCoreMinority, {},
                             sent - bound - window, sent)) {
    bound += this->bounds.partition_max;
  }
  if (this->DisturbedBetween(Disturbed::kCoreMajority, {},
                             sent - bound - this->bounds.partition_max - window,
                             sent)) {
    return;
  }
  const uint64_t required = this->AcknowledgedBy(sent - bound);
  if (newest >= required) return;
  this->Report(sent, "CONFIG: " + probe.balancer + " handles port " +
                         std::to_string(probe.port) + " as " +
                         VersionText(newest) + " or older; " +
                         VersionText(required) + " was acknowledged");
}

void ConfigJudge::CheckRegress(const ProbeResult& probe,
                               const std::vector<uint64_t>& versions) {
  std::vector<Effect>& seen =
      this->effects[{probe.balancer, probe.incarnation}];
  // Only effects from before the flow was opened tell which version the
  // balancer had at least: a flow may be handled long after that.
  uint64_t floor = 0;
  uint64_t floor_before_slack = 0;
  for (const Effect& effect : seen) {
    if (effect.observed <= probe.sent) floor = std::max(floor, effect.version);
    if (effect.observed < probe.sent - this->bounds.downgrade_slack) {
      floor_before_slack = std::max(floor_before_slack, effect.version);
    }
  }
  if (versions.back() < floor_before_slack) {
    this->Report(probe.sent, "CONFIG: " + probe.balancer + " regresses from " +
                                 VersionText(floor_before_slack) + " to " +
                                 VersionText(versions.back()));
    return;
  }
  const auto oldest = std::lower_bound(versions.begin(), versions.end(), floor);
  if (oldest == versions.end() || *oldest <= floor) return;
  seen.push_back({probe.observed, *oldest});
}

size_t ConfigJudge::BeginDisturbance(Disturbed what,
                                     const std::string& balancer, Millis now) {
  const std::lock_guard lock(this->mutex);
  this->disturbances.push_back({what, balancer, now, Millis(INT64_MAX)});
  return this->disturbances.size() - 1;
}

void ConfigJudge::EndDisturbance(size_t number, Millis now) {
  const std::lock_guard lock(this->mutex);
  this->disturbances.at(number).to = now;
}

void ConfigJudge::OnFinalRead(Millis now, const std::string* document) {
  if (document != nullptr) {
    this->OnRead(now, "the core", *document);
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->Report(now, "CONFIG: no configuration is read back at the end; " +
                        VersionText(this->AcknowledgedBy(now)) +
                        " was acknowledged");
}

void ConfigJudge::OnProcessEnded(Millis now, const std::string& process,
                                 int status) {
  const std::lock_guard lock(this->mutex);
  this->Report(now, "Fault: " + process + " ended by itself with wait status " +
                        std::to_string(status));
}

bool ConfigJudge::DisturbedBetween(Disturbed what, const std::string& balancer,
                                   Millis from, Millis to) const {
  return std::any_of(this->disturbances.begin(), this->disturbances.end(),
                     [&](const Disturbance& item) {
                       return item.what == what && item.balancer == balancer &&
                              item.from <= to && item.to >= from;
                     });
}

uint64_t ConfigJudge::AcknowledgedBy(Millis time) const {
  uint64_t newest = 0;
  for (const auto& [version, order] : this->orders) {
    if (order.acknowledged.has_value() && *order.acknowledged <= time &&
        order.valid) {
      newest = version;
    }
  }
  return newest;
}

std::vector<uint64_t> ConfigJudge::VersionsThatExplain(
    const ProbeResult& probe) const {
  std::vector<uint64_t> out;
  for (const auto& [version, order] : this->orders) {
    if (!order.valid || order.sent > probe.observed) continue;
    const auto route = order.routes.find(probe.port);
    const std::string& service =
        route == order.routes.end() ? std::string() : route->second;
    if (service == probe.service) out.push_back(version);
  }
  return out;
}

std::vector<std::string> ConfigJudge::Violations() const {
  const std::lock_guard lock(this->mutex);
  return this->violations;
}

uint64_t ConfigJudge::Acknowledged() const {
  const std::lock_guard lock(this->mutex);
  return this->acknowledged;
}

uint64_t ConfigJudge::Probes() const {
  const std::lock_guard lock(this->mutex);
  return this->probes;
}

}  // namespace cornelhill::soak
